package org.lentilhinge.published.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.lentilhinge.forward.ForwardRoute;

/** Finds routes that share their name, so that log lines and changes do not tell them apart. */
final class RouteNameCheck implements PublishedCheck {

  @Override
  public List<EntryFinding> check(CheckedConfiguration checked) {
    List<EntryFinding> findings = new ArrayList<>();
    Map<String, Integer> indexes = new HashMap<>();
    List<ForwardRoute> routes = checked.configuration().routes();
    for (int index = 0; index < routes.size(); index++) {
      String name = routes.get(index).name();
      Integer former = name.isEmpty() ? null : indexes.putIfAbsent(name, index);
      if (former != null) {
        findings.add(
            EntryFinding.warning(
                "another route is named '" + name + "', too",
                EntryReference.of(EntryField.ROUTE_NAME, index),
                EntryReference.of(EntryField.ROUTE_NAME, former)));
      }
    }
    return findings;
  }
}
