package org.lentilhinge.runtime.forward;

import java.util.function.Consumer;
import org.lentilhinge.fleet.FleetEndpoint;

/** Provides the protocol of the platform that a host runs on: headers, store and engine control. */
public interface ForwardPlatform {

  /**
   * Returns the header translator.
   *
   * @return the translator
   */
  HeaderTranslator headerTranslator();

  /**
   * Creates a client of the published store.
   *
   * @param client makes the calls
   * @param address the IP address and port of the store
   * @param rejectionListener receives the key of each entry that could not be read, at each read
   * @return the client
   */
  PublishedStore store(
      ControlHttpClient client, String address, Consumer<String> rejectionListener);

  /**
   * Creates a client that controls engines.
   *
   * @param orderClient sends the orders
   * @param reportClient reads the reports
   * @param departureListener receives each engine that states in a response that it leaves
   * @return the client
   */
  EngineControl control(
      ControlHttpClient orderClient,
      ControlHttpClient reportClient,
      Consumer<FleetEndpoint> departureListener);
}
