package org.lentilhinge.runtime.gateway;

import java.util.Optional;
import org.lentilhinge.configuration.Configuration;
import org.lentilhinge.identity.CallerId;
import org.lentilhinge.routing.RequestAttributes;
import org.lentilhinge.routing.RequestClassifier;

/**
 * Classifies requests by the rules of the configuration, which are indexed once per configuration.
 */
public final class RuleClassifier implements Classifier {

  private Optional<Configuration> indexedConfiguration = Optional.empty();
  private RequestClassifier requestClassifier;

  @Override
  public Optional<Classification> classify(
      Configuration configuration, CallerId caller, RequestAttributes attributes) {
    if (indexedConfiguration.isEmpty() || indexedConfiguration.get() != configuration) {
      requestClassifier = new RequestClassifier(configuration);
      indexedConfiguration = Optional.of(configuration);
    }
    return requestClassifier
        .classify(caller, attributes)
        .toJavaOptional()
        .map(
            classified ->
                new Classification(classified.rule(), classified.version(), classified.urgency()));
  }
}
