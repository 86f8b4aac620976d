package org.lentilhinge.published.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.lentilhinge.forward.ForwardRoute;

/** Finds routes that a later route with the same host and prefix replaces. */
final class DuplicateRouteCheck implements PublishedCheck {

  private record Address(String host, String prefix) {}

  @Override
  public List<EntryFinding> check(CheckedConfiguration checked) {
    List<ForwardRoute> routes = checked.configuration().routes();
    Map<Address, Integer> lastIndexes = new HashMap<>();
    for (int index = 0; index < routes.size(); index++) {
      lastIndexes.put(addressOf(routes.get(index)), index);
    }
    List<EntryFinding> findings = new ArrayList<>();
    for (int index = 0; index < routes.size(); index++) {
      int last = lastIndexes.get(addressOf(routes.get(index)));
      if (last != index) {
        findings.add(
            EntryFinding.error(
                "the route never matches: a later route has the same host and prefix",
                EntryReference.of(EntryField.ROUTE, index),
                EntryReference.of(EntryField.ROUTE_HOST, index),
                EntryReference.of(EntryField.ROUTE_PREFIX, index),
                EntryReference.of(EntryField.ROUTE, last),
                EntryReference.of(EntryField.ROUTE_HOST, last),
                EntryReference.of(EntryField.ROUTE_PREFIX, last)));
      }
    }
    return findings;
  }

  private static Address addressOf(ForwardRoute route) {
    return new Address(route.host(), route.prefix());
  }
}
