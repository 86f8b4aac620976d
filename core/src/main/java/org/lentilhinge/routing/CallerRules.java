package org.lentilhinge.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lentilhinge.configuration.Condition;
import org.lentilhinge.configuration.Rule;

/**
 * Indexes the rules of one caller. Rules with a condition on the model are indexed by the model's
 * name, so that one look-up finds them even if the caller has a rule for each of many adapters.
 */
final class CallerRules {

  private static final String MODEL_ATTRIBUTE = "model";
  private static final int[] NONE = new int[0];

  private final Rule[] rules;
  private final int[] positionsWithoutModel;
  private final Map<String, int[]> positionsByModel;

  CallerRules(List<Rule> rules) {
    this.rules = rules.toArray(Rule[]::new);
    List<Integer> withoutModel = new ArrayList<>();
    Map<String, List<Integer>> withModel = new HashMap<>();
    for (int position = 0; position < this.rules.length; position++) {
      Optional<String> model = requiredModel(this.rules[position]);
      if (model.isPresent()) {
        withModel.computeIfAbsent(model.get(), name -> new ArrayList<>(1)).add(position);
      } else {
        withoutModel.add(position);
      }
    }
    this.positionsWithoutModel = toArray(withoutModel);
    this.positionsByModel = new HashMap<>();
    withModel.forEach((model, positions) -> positionsByModel.put(model, toArray(positions)));
  }

  Optional<Rule> firstMatch(RequestAttributes attributes) {
    int[] positionsOfModel =
        attributes
            .value(MODEL_ATTRIBUTE)
            .map(model -> positionsByModel.getOrDefault(model, NONE))
            .orElse(NONE);
    int first =
        Math.min(
            firstMatch(positionsOfModel, attributes),
            firstMatch(positionsWithoutModel, attributes));
    return first < rules.length ? Optional.of(rules[first]) : Optional.empty();
  }

  private int firstMatch(int[] positions, RequestAttributes attributes) {
    for (int position : positions) {
      if (matches(rules[position], attributes)) {
        return position;
      }
    }
    return rules.length;
  }

  private static boolean matches(Rule rule, RequestAttributes attributes) {
    for (Condition condition : rule.conditions()) {
      Optional<String> value = attributes.value(condition.attribute());
      if (value.isEmpty() || !value.get().equals(condition.value())) {
        return false;
      }
    }
    return true;
  }

  private static Optional<String> requiredModel(Rule rule) {
    return rule.conditions().stream()
        .filter(condition -> condition.attribute().equals(MODEL_ATTRIBUTE))
        .map(Condition::value)
        .findFirst();
  }

  private static int[] toArray(List<Integer> positions) {
    return positions.stream().mapToInt(Integer::intValue).toArray();
  }
}
