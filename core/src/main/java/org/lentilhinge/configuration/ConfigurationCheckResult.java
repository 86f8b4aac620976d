package org.lentilhinge.configuration;

import io.vavr.control.Either;
import java.util.Optional;
import org.lentilhinge.finding.Findings;

/**
 * The result of checking a configuration. It depends only on the text, so that every host arrives
 * at the same result.
 *
 * @param findings all findings, both errors and warnings
 * @param configuration the configuration, or empty if a finding is an error
 */
public record ConfigurationCheckResult(Findings findings, Optional<Configuration> configuration) {

  /**
   * Indicates whether the configuration may be applied.
   *
   * @return whether no finding is an error
   */
  public boolean isAccepted() {
    return configuration.isPresent();
  }

  /**
   * Converts the result to an {@link Either}.
   *
   * @return the configuration, or the findings if the configuration is rejected
   */
  public Either<Findings, Configuration> toEither() {
    return configuration
        .<Either<Findings, Configuration>>map(Either::right)
        .orElseGet(() -> Either.left(findings));
  }
}
