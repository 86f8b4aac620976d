package org.lentilhinge.routing;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lentilhinge.configuration.Adapter;
import org.lentilhinge.configuration.Configuration;
import org.lentilhinge.configuration.Rule;
import org.lentilhinge.identity.AdapterVersion;
import org.lentilhinge.identity.CallerId;

/**
 * Maps requests to adapter versions by the rules of one configuration. Instances are immutable; a
 * host creates a new instance for each configuration.
 */
public final class RequestClassifier {

  private final Configuration configuration;
  private final Map<CallerId, CallerRules> rules;

  /**
   * Indexes the rules of a configuration by caller.
   *
   * @param configuration the configuration
   */
  public RequestClassifier(Configuration configuration) {
    this.configuration = configuration;
    this.rules = index(configuration.rules());
  }

  /**
   * Determines the adapter version that a request runs on. The first of the caller's rules whose
   * conditions all match applies.
   *
   * @param caller the caller
   * @param attributes the request's attributes
   * @return the classified request, or the reason why it is refused
   */
  public Either<ClassificationRefusal, ClassifiedRequest> classify(
      CallerId caller, RequestAttributes attributes) {
    if (!configuration.callers().containsKey(caller)) {
      return Either.left(ClassificationRefusal.UNKNOWN_CALLER);
    }
    Optional<Rule> rule =
        Optional.ofNullable(rules.get(caller)).flatMap(indexed -> indexed.firstMatch(attributes));
    if (rule.isEmpty()) {
      return Either.left(ClassificationRefusal.NO_MATCHING_RULE);
    }
    return classify(rule.get());
  }

  private Either<ClassificationRefusal, ClassifiedRequest> classify(Rule rule) {
    Optional<Adapter> adapter = configuration.adapter(rule.adapter());
    if (adapter.isEmpty()) {
      return Either.left(ClassificationRefusal.UNKNOWN_ADAPTER);
    }
    int number = rule.version().orElse(adapter.get().activeVersion());
    return Either.right(
        new ClassifiedRequest(
            rule.caller(),
            rule.name(),
            new AdapterVersion(rule.adapter(), number),
            adapter.get().baseModel(),
            adapter.get().sizeBytes(),
            rule.urgency()));
  }

  private static Map<CallerId, CallerRules> index(List<Rule> rules) {
    Map<CallerId, List<Rule>> grouped = new HashMap<>();
    for (Rule rule : rules) {
      grouped.computeIfAbsent(rule.caller(), caller -> new ArrayList<>()).add(rule);
    }
    Map<CallerId, CallerRules> indexed = new HashMap<>();
    grouped.forEach((caller, group) -> indexed.put(caller, new CallerRules(group)));
    return indexed;
  }
}
