package org.lentilhinge.configuration;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.lentilhinge.identity.CallerId;

/**
 * The changes from one configuration to another, listed for review.
 *
 * @param changes the changes, grouped by kind of declaration and ordered by name
 */
public record ConfigurationDifference(List<ConfigurationChange> changes) {

  /**
   * Creates a difference with a copy of the changes.
   *
   * @param changes the changes, in this order
   */
  public ConfigurationDifference {
    changes = List.copyOf(changes);
  }

  /**
   * Compares two configurations.
   *
   * @param previous the previous configuration
   * @param next the new configuration
   * @return the changes that the new configuration makes
   */
  public static ConfigurationDifference between(Configuration previous, Configuration next) {
    Comparison comparison = new Comparison();
    comparison.compareAll(
        "version", Map.of("", previous.version()), Map.of("", next.version()), Object::toString);
    comparison.compareAll(
        "zone", previous.zones(), next.zones(), zone -> "region " + zone.region());
    comparison.compareAll(
        "store",
        Map.of("", previous.storeBudget()),
        Map.of("", next.storeBudget()),
        ConfigurationDifference::describe);
    comparison.compareAll(
        "policy",
        Map.of("", previous.policy()),
        Map.of("", next.policy()),
        ConfigurationDifference::describe);
    comparison.compareAll(
        "engine", previous.engines(), next.engines(), ConfigurationDifference::describe);
    comparison.compareAll(
        "adapter", previous.adapters(), next.adapters(), ConfigurationDifference::describe);
    comparison.compareAll(
        "caller", previous.callers(), next.callers(), ConfigurationDifference::describe);
    comparison.compareAll(
        "rule", byName(previous.rules()), byName(next.rules()), ConfigurationDifference::describe);
    comparison.compareAll(
        "rule order of",
        ruleOrders(previous.rules(), next.rules()),
        ruleOrders(next.rules(), previous.rules()),
        order -> String.join(", ", order));
    comparison.compareAll(
        "service", previous.services(), next.services(), ConfigurationDifference::describe);
    return new ConfigurationDifference(comparison.changes);
  }

  private static Map<String, Rule> byName(List<Rule> rules) {
    Map<String, Rule> byName = new LinkedHashMap<>();
    rules.forEach(rule -> byName.put(nameOf(rule), rule));
    return byName;
  }

  private static String nameOf(Rule rule) {
    return rule.caller() + "/" + rule.name();
  }

  /**
   * Returns the order of each caller's rules, limited to rules that both configurations declare.
   */
  private static Map<CallerId, List<String>> ruleOrders(List<Rule> rules, List<Rule> others) {
    Set<String> commonNames =
        others.stream().map(ConfigurationDifference::nameOf).collect(Collectors.toSet());
    return rules.stream()
        .filter(rule -> commonNames.contains(nameOf(rule)))
        .collect(
            Collectors.groupingBy(
                Rule::caller, Collectors.mapping(Rule::name, Collectors.toList())));
  }

  private static String describe(StoreBudget store) {
    String shares =
        store.zoneShares().entrySet().stream()
            .map(share -> share.getKey() + " " + share.getValue())
            .sorted()
            .collect(Collectors.joining(", "));
    return store.loadsPerSecond() + " loads/s, " + store.loadsInFlight() + " in flight; " + shares;
  }

  private static String describe(Policy policy) {
    return "stall weight "
        + policy.stallWeight()
        + ", batch weight "
        + policy.batchWeight()
        + ", queue "
        + Unit.DURATION.describe(policy.maximumQueueMillis())
        + ", request "
        + Unit.DURATION.describe(policy.maximumRequestMillis());
  }

  private static String describe(Engine engine) {
    return engine.baseModel()
        + " at "
        + engine.address()
        + " in "
        + engine.zone()
        + ", "
        + engine.adapterSlots()
        + " adapter slots, "
        + engine.batchSlots()
        + " batch slots, fencing "
        + EntrySection.keyword(engine.fencing());
  }

  private static String describe(Adapter adapter) {
    return "version "
        + adapter.activeVersion()
        + ", "
        + Unit.SIZE.describe(adapter.sizeBytes())
        + ", "
        + adapter.baseModel();
  }

  private static String describe(Caller caller) {
    return "key "
        + caller.keyDigest().substring(0, 8)
        + ", share "
        + caller.share()
        + ", at most "
        + caller.maximumConcurrent()
        + " at once";
  }

  private static String describe(Rule rule) {
    StringBuilder text = new StringBuilder(rule.adapter().value());
    rule.version().ifPresent(version -> text.append('@').append(version));
    text.append(", ").append(EntrySection.keyword(rule.urgency()));
    for (Condition condition : rule.conditions()) {
      text.append(", ").append(condition.attribute()).append(" is ").append(condition.value());
    }
    return text.toString();
  }

  private static String describe(Service service) {
    String instances =
        service.instances().stream()
            .map(instance -> instance.id() + " at " + instance.address())
            .collect(Collectors.joining(", "));
    String callers =
        service.callers().stream().map(CallerId::value).sorted().collect(Collectors.joining(", "));
    String calls =
        service.calls().stream()
            .map(ConfigurationDifference::describe)
            .collect(Collectors.joining(", "));
    return "home zone "
        + service.homeZone()
        + "; "
        + instances
        + "; calls "
        + calls
        + "; callers "
        + callers
        + "; deduplication "
        + EntrySection.keyword(service.deduplication());
  }

  private static String describe(ServiceCall call) {
    return call.method() + " " + call.pathPrefix() + (call.repeatable() ? " repeatable" : " once");
  }

  private static final class Comparison {

    private final List<ConfigurationChange> changes = new ArrayList<>();

    <N extends Comparable<N>, D> void compareAll(
        String kind, Map<N, D> previous, Map<N, D> next, Function<D, String> describe) {
      Set<N> names = new TreeSet<>(previous.keySet());
      names.addAll(next.keySet());
      for (N name : names) {
        Optional<String> before = Optional.ofNullable(previous.get(name)).map(describe);
        Optional<String> after = Optional.ofNullable(next.get(name)).map(describe);
        if (!before.equals(after)) {
          changes.add(new ConfigurationChange((kind + " " + name).trim(), before, after));
        }
      }
    }
  }
}
