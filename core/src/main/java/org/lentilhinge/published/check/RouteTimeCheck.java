package org.lentilhinge.published.check;

import java.util.ArrayList;
import java.util.List;
import org.lentilhinge.forward.ForwardRoute;

/** Finds routes whose target times exceed their timeout, and times of 0. */
final class RouteTimeCheck implements PublishedCheck {

  @Override
  public List<EntryFinding> check(CheckedConfiguration checked) {
    List<EntryFinding> findings = new ArrayList<>();
    List<ForwardRoute> routes = checked.configuration().routes();
    for (int index = 0; index < routes.size(); index++) {
      ForwardRoute route = routes.get(index);
      EntryReference timeout = EntryReference.of(EntryField.ROUTE_TIMEOUT, index);
      EntryReference target = EntryReference.of(EntryField.ROUTE_TARGET, index);
      if (route.timeoutMillis() <= 0) {
        findings.add(EntryFinding.error("the timeout must be above 0", timeout));
      } else if (route.targetMillis() <= 0) {
        findings.add(EntryFinding.error("the target time must be above 0", target));
      }
      checkTarget("target time", route.targetMillis(), route, target, timeout, findings);
      Long gapMillis = checked.gapTargetMillis().get(index);
      if (gapMillis != null) {
        EntryReference gap = EntryReference.of(EntryField.ROUTE_GAP_TARGET, index);
        checkTarget("target time between events", gapMillis, route, gap, timeout, findings);
      }
    }
    return findings;
  }

  private static void checkTarget(
      String name,
      long millis,
      ForwardRoute route,
      EntryReference target,
      EntryReference timeout,
      List<EntryFinding> findings) {
    if (route.timeoutMillis() > 0 && millis > route.timeoutMillis()) {
      findings.add(
          EntryFinding.warning(
              "the "
                  + name
                  + " of "
                  + millis
                  + " ms exceeds the timeout of "
                  + route.timeoutMillis()
                  + " ms",
              target,
              timeout));
    }
  }
}
