package org.lentilhinge.published.check;

import java.util.ArrayList;
import java.util.List;
import org.lentilhinge.forward.ForwardRoute;
import org.lentilhinge.forward.RequestKind;

/** Finds routes that declare more attempts than their kind of requests allows. */
final class RouteAttemptsCheck implements PublishedCheck {

  @Override
  public List<EntryFinding> check(CheckedConfiguration checked) {
    List<EntryFinding> findings = new ArrayList<>();
    List<ForwardRoute> routes = checked.configuration().routes();
    for (int index = 0; index < routes.size(); index++) {
      ForwardRoute route = routes.get(index);
      EntryReference attempts = EntryReference.of(EntryField.ROUTE_ATTEMPTS, index);
      EntryReference kind = EntryReference.of(EntryField.ROUTE_KIND, index);
      EntryReference resumable = EntryReference.of(EntryField.ROUTE_RESUMABLE, index);
      if (route.maximumAttempts() < 1) {
        findings.add(EntryFinding.error("at least one attempt is necessary", attempts));
      } else if (route.maximumAttempts() > 1 && !route.isRepeatable()) {
        findings.add(
            EntryFinding.warning(
                route.maximumAttempts() + " attempts, but such requests run at most once",
                attempts,
                kind,
                resumable));
      }
      if (route.resumable() && route.kind() != RequestKind.STREAM) {
        findings.add(
            EntryFinding.warning(
                "only streams can be resumed, and the route is of another kind", resumable, kind));
      }
    }
    return findings;
  }
}
