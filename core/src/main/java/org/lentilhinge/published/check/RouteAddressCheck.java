package org.lentilhinge.published.check;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.lentilhinge.forward.ForwardRoute;

/** Finds routes whose host or prefix matches no request. */
final class RouteAddressCheck implements PublishedCheck {

  @Override
  public List<EntryFinding> check(CheckedConfiguration checked) {
    List<EntryFinding> findings = new ArrayList<>();
    List<ForwardRoute> routes = checked.configuration().routes();
    for (int index = 0; index < routes.size(); index++) {
      ForwardRoute route = routes.get(index);
      if (!isHostName(route.host())) {
        findings.add(
            EntryFinding.error(
                "the route never matches: '" + route.host() + "' is no host name without a port",
                EntryReference.of(EntryField.ROUTE_HOST, index)));
      }
      if (!isPrefix(route.prefix())) {
        findings.add(
            EntryFinding.error(
                "the route never matches: the prefix '"
                    + route.prefix()
                    + "' must begin and end with a slash and contain no '?'",
                EntryReference.of(EntryField.ROUTE_PREFIX, index)));
      }
    }
    return findings;
  }

  private static boolean isHostName(String host) {
    // The port and the case of a Host header are removed before the comparison.
    return !host.isBlank()
        && host.equals(host.toLowerCase(Locale.ROOT))
        && host.chars()
            .noneMatch(letter -> letter == ':' || letter == '/' || Character.isWhitespace(letter));
  }

  private static boolean isPrefix(String prefix) {
    return prefix.startsWith("/") && prefix.endsWith("/") && prefix.indexOf('?') < 0;
  }
}
