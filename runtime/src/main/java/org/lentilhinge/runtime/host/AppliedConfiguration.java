package org.lentilhinge.runtime.host;

import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.lentilhinge.configuration.Configuration;
import org.lentilhinge.configuration.Policy;
import org.lentilhinge.configuration.StoreBudget;
import org.lentilhinge.identity.ConfigurationVersion;

/**
 * Holds the applied configuration, which is an empty configuration of version 0 until the first
 * configuration is applied.
 */
final class AppliedConfiguration implements Supplier<Configuration> {

  private volatile Configuration configuration =
      new Configuration(
          ConfigurationVersion.NONE,
          Map.of(),
          Map.of(),
          Map.of(),
          List.of(),
          Map.of(),
          Map.of(),
          new StoreBudget(0, 0, Map.of()),
          new Policy(1, 1, 0, 0));

  @Override
  public Configuration get() {
    return configuration;
  }

  void set(Configuration newConfiguration) {
    configuration = newConfiguration;
  }

  boolean isPresent() {
    return !configuration.version().equals(ConfigurationVersion.NONE);
  }
}
