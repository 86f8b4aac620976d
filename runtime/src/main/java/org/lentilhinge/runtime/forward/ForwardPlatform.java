package org.lentilhinge.runtime.forward;

/** Provides the protocol of the platform that a host runs on. */
public interface ForwardPlatform {

  /**
   * Returns the header translator.
   *
   * @return the translator
   */
  ForwardDialect dialect();

  /**
   * Creates a client of the published store.
   *
   * @param caller makes the calls
   * @param address the IP number and port of the store
   * @return the client
   */
  PublishedStore store(HttpCaller caller, String address);

  /**
   * Creates a client that controls engines.
   *
   * @param caller makes the calls
   * @return the client
   */
  EngineControl control(HttpCaller caller);
}
