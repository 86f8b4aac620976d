package org.lentilhinge.configuration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.lentilhinge.identity.AdapterId;
import org.lentilhinge.identity.CallerId;

/**
 * Reads the section {@code [rules CALLER]}, which declares one rule per line, in the order in which
 * the rules are evaluated: {@code NAME = ADAPTER[@VERSION], URGENCY[, ATTRIBUTE is VALUE]...}.
 */
final class RuleReader implements SectionReader {

  private static final int MAXIMUM_CONDITIONS = 8;
  private static final Pattern TARGET = Pattern.compile("([A-Za-z0-9._-]+)(?:@([1-9]\\d{0,8}))?");
  private static final Pattern CONDITION = Pattern.compile("([a-z0-9-]+) is (\\S+)");
  private static final Pattern RULE_NAME = Pattern.compile("[A-Za-z0-9._-]{1,128}");

  @Override
  public void read(EntrySection section, ConfigurationDraft draft) {
    Optional<CallerId> caller =
        draft.resolveReference(
            section,
            section.place(),
            "caller",
            section.label(),
            CallerId::new,
            draft.callers().keySet());
    List<Rule> rules = new ArrayList<>();
    Map<Set<Condition>, Rule> byConditions = new HashMap<>();
    for (ConfigurationEntry entry : section.entries("")) {
      CallerId callerId = caller.orElse(new CallerId("undeclared"));
      readLine(entry, section, callerId, draft)
          .ifPresent(
              rule -> {
                reportIfUnreachable(rule, byConditions, entry, section);
                byConditions.putIfAbsent(Set.copyOf(rule.conditions()), rule);
                rules.add(rule);
              });
    }
    draft.rules().addAll(rules);
  }

  private static Optional<Rule> readLine(
      ConfigurationEntry entry, EntrySection section, CallerId caller, ConfigurationDraft draft) {
    if (!RULE_NAME.matcher(entry.key()).matches()) {
      section.error(entry.place(), "rule name is malformed: '" + entry.key() + "'");
    }
    String[] words = entry.value().split(" *, *");
    Matcher target = TARGET.matcher(words[0]);
    if (words.length < 2 || !target.matches()) {
      section.error(
          entry.place(),
          "'" + entry.value() + "' is not ADAPTER[@VERSION], URGENCY[, ATTRIBUTE is VALUE]...");
      return Optional.empty();
    }
    Optional<AdapterId> adapter = adapter(target.group(1), entry, section, draft);
    Optional<Urgency> urgency = section.parseChoice(entry.place(), words[1], Urgency.class);
    List<Condition> conditions = conditions(words, entry, section);
    if (adapter.isEmpty() || urgency.isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(
        new Rule(entry.key(), caller, conditions, adapter.get(), version(target), urgency.get()));
  }

  private static Optional<AdapterId> adapter(
      String name, ConfigurationEntry entry, EntrySection section, ConfigurationDraft draft) {
    return draft
        .resolveReference(
            section, entry.place(), "adapter", name, AdapterId::new, draft.adapters().keySet())
        .map(id -> draft.adapters().get(id).id());
  }

  private static OptionalInt version(Matcher target) {
    return target.group(2) == null
        ? OptionalInt.empty()
        : OptionalInt.of(Integer.parseInt(target.group(2)));
  }

  private static List<Condition> conditions(
      String[] words, ConfigurationEntry entry, EntrySection section) {
    List<Condition> conditions = new ArrayList<>();
    if (words.length - 2 > MAXIMUM_CONDITIONS) {
      section.error(entry.place(), "the rule has more than " + MAXIMUM_CONDITIONS + " conditions");
      return conditions;
    }
    for (int index = 2; index < words.length; index++) {
      Matcher matcher = CONDITION.matcher(words[index]);
      if (matcher.matches()) {
        conditions.add(new Condition(matcher.group(1), matcher.group(2)));
      } else {
        section.error(
            entry.place(),
            "'" + words[index] + "' is not ATTRIBUTE is VALUE, with the attribute in lower case");
      }
    }
    return conditions;
  }

  /**
   * Reports an error if an earlier rule matches every request that the rule matches. Looks up each
   * subset of the rule's conditions instead of comparing it with all earlier rules, because a
   * caller may have thousands of rules.
   */
  private static void reportIfUnreachable(
      Rule rule,
      Map<Set<Condition>, Rule> earlierRules,
      ConfigurationEntry entry,
      EntrySection section) {
    for (int mask = 0; mask < 1 << rule.conditions().size(); mask++) {
      Rule earlier = earlierRules.get(subset(rule.conditions(), mask));
      if (earlier != null) {
        section.error(
            entry.place(),
            "the rule is never reached, since rule '"
                + earlier.name()
                + "' above it matches whatever it matches");
        return;
      }
    }
  }

  private static Set<Condition> subset(List<Condition> conditions, int mask) {
    Set<Condition> subset = new HashSet<>();
    for (int index = 0; index < conditions.size(); index++) {
      if ((mask & 1 << index) != 0) {
        subset.add(conditions.get(index));
      }
    }
    return subset;
  }
}
