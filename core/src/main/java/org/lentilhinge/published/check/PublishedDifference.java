package org.lentilhinge.published.check;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.lentilhinge.configuration.ConfigurationChange;
import org.lentilhinge.configuration.ConfigurationDifference;
import org.lentilhinge.customer.Allowance;
import org.lentilhinge.customer.Customer;
import org.lentilhinge.customer.DeclaredCustomers;
import org.lentilhinge.follow.PartDigest;
import org.lentilhinge.forward.EngineCapacity;
import org.lentilhinge.forward.ForwardConfiguration;
import org.lentilhinge.forward.ForwardLimits;
import org.lentilhinge.forward.ForwardRoute;
import org.lentilhinge.forward.ForwardService;

/** Compares two published configurations. Keys of customers appear as short digests only. */
public final class PublishedDifference {

  /** Tells the keys of a customer apart without printing any part of them. */
  private static final int KEY_DIGEST_LENGTH = 8;

  private PublishedDifference() {}

  /**
   * Compares two configurations.
   *
   * @param previous the configuration that hosts apply at present
   * @param next the new configuration
   * @return the changes that the new configuration makes, one for each entry
   */
  public static ConfigurationDifference between(
      CheckedConfiguration previous, CheckedConfiguration next) {
    Map<String, String> before = describe(previous);
    Map<String, String> after = describe(next);
    List<String> subjects = new ArrayList<>(after.keySet());
    before.keySet().stream().filter(subject -> !after.containsKey(subject)).forEach(subjects::add);
    List<ConfigurationChange> changes = new ArrayList<>();
    for (String subject : subjects) {
      if (!Objects.equals(before.get(subject), after.get(subject))) {
        changes.add(
            new ConfigurationChange(
                subject,
                Optional.ofNullable(before.get(subject)),
                Optional.ofNullable(after.get(subject))));
      }
    }
    return new ConfigurationDifference(changes);
  }

  private static Map<String, String> describe(CheckedConfiguration checked) {
    ForwardConfiguration configuration = checked.configuration();
    Map<String, String> texts = new LinkedHashMap<>();
    texts.put("version", configuration.version().toString());
    for (int index = 0; index < configuration.routes().size(); index++) {
      ForwardRoute route = configuration.routes().get(index);
      Long gapMillis = checked.gapTargetMillis().get(index);
      String gap = gapMillis == null ? "" : ", between events " + gapMillis + " ms";
      put(texts, "route " + nameOf(route), describe(route) + gap);
    }
    new TreeMap<>(configuration.services())
        .forEach((name, service) -> put(texts, "service " + name, describe(service)));
    DeclaredCustomers customers = configuration.customers();
    texts.put("customers", customers.declared() ? "declared" : "not declared");
    for (Customer customer : customers.customers()) {
      put(texts, "customer " + customer.name(), describe(customer));
    }
    texts.put("limits", describe(configuration.limits()));
    return texts;
  }

  /** Adds an entry; repeated names are numbered. */
  private static void put(Map<String, String> texts, String subject, String text) {
    String unique = subject;
    for (int number = 2; texts.containsKey(unique); number++) {
      unique = subject + " (" + number + ")";
    }
    texts.put(unique, text);
  }

  private static String nameOf(ForwardRoute route) {
    return route.name().isEmpty() ? route.host() + route.prefix() : route.name();
  }

  private static String describe(ForwardRoute route) {
    String shares =
        route.shares().stream()
            .map(share -> share.service() + " " + share.weight())
            .collect(Collectors.joining(", "));
    return route.host()
        + route.prefix()
        + ", "
        + route.kind().name().toLowerCase(Locale.ROOT)
        + (route.resumable() ? " resumable" : "")
        + (route.publicAccess() ? " public" : "")
        + ", timeout "
        + route.timeoutMillis()
        + " ms, target "
        + route.targetMillis()
        + " ms, priority "
        + route.priority()
        + ", attempts "
        + route.maximumAttempts()
        + ", to "
        + shares;
  }

  private static String describe(ForwardService service) {
    int connections = service.maximumConnections();
    return "connections "
        + (connections == Integer.MAX_VALUE ? "unlimited" : connections)
        + describe(service.engine());
  }

  private static String describe(Optional<EngineCapacity> engine) {
    return engine
        .map(
            capacity ->
                ", batch slots "
                    + capacity.batchSlots()
                    + ", memory tokens "
                    + capacity.memoryTokens()
                    + ", adapter slots "
                    + capacity.adapterSlots()
                    + ", models "
                    + String.join(" ", capacity.models()))
        .orElse("");
  }

  private static String describe(Customer customer) {
    Allowance allowance = customer.allowance();
    String digests =
        new TreeSet<>(customer.apiKeys())
            .stream()
                .map(key -> PartDigest.of(key).value().substring(0, KEY_DIGEST_LENGTH))
                .sorted()
                .collect(Collectors.joining(" "));
    return "priority "
        + customer.priority().map(Object::toString).orElse("of the route")
        + (allowance.isUnlimited()
            ? ", no limit"
            : ", rate " + allowance.perSecond() + ", burst " + allowance.burst())
        + (allowance.tokens()
            ? ", tokens, " + allowance.plainTokens() + " for a plain request"
            : ", requests")
        + ", keys "
        + (digests.isEmpty() ? "none" : digests);
  }

  private static String describe(ForwardLimits limits) {
    return "headers "
        + limits.headerBytes()
        + " bytes, body "
        + limits.bodyBytes()
        + " bytes, header timeout "
        + limits.headerTimeoutMillis()
        + " ms, idle timeout "
        + limits.idleTimeoutMillis()
        + " ms";
  }
}
