package org.lentilhinge.runtime.gateway;

import java.util.Optional;
import org.lentilhinge.configuration.Configuration;
import org.lentilhinge.identity.CallerId;
import org.lentilhinge.routing.RequestAttributes;

/** Selects the rule that routes a request. */
@FunctionalInterface
public interface Classifier {

  /**
   * Classifies a request.
   *
   * @param configuration the applied configuration
   * @param caller the caller
   * @param attributes the request's attributes
   * @return the classification, or empty if no rule routes the request
   */
  Optional<Classification> classify(
      Configuration configuration, CallerId caller, RequestAttributes attributes);
}
