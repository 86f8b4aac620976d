package org.lentilhinge.emulator.engine;

import io.reactivex.rxjava3.core.Completable;
import org.lentilhinge.identity.AdapterVersion;

/** Provides an engine with the weights of adapters. */
@FunctionalInterface
public interface WeightSource {

  /**
   * Fetches the weights of an adapter version.
   *
   * @param adapter the adapter version
   * @return a Completable that completes when the weights are loaded, and fails if the load fails
   */
  Completable fetch(AdapterVersion adapter);
}
