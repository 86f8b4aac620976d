package org.lentilhinge.published.check;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.lentilhinge.forward.ForwardRoute;
import org.lentilhinge.forward.ServiceShare;

/** Finds routes without a service, or to services that are not declared or are repeated. */
final class RouteServiceCheck implements PublishedCheck {

  @Override
  public List<EntryFinding> check(CheckedConfiguration checked) {
    List<EntryFinding> findings = new ArrayList<>();
    List<ForwardRoute> routes = checked.configuration().routes();
    for (int index = 0; index < routes.size(); index++) {
      List<ServiceShare> shares = routes.get(index).shares();
      if (shares.isEmpty()) {
        findings.add(
            EntryFinding.error(
                "the route has no service", EntryReference.of(EntryField.ROUTE, index)));
      }
      checkShares(checked, index, shares, findings);
    }
    return findings;
  }

  private static void checkShares(
      CheckedConfiguration checked,
      int index,
      List<ServiceShare> shares,
      List<EntryFinding> findings) {
    Set<String> names = new HashSet<>();
    for (int part = 0; part < shares.size(); part++) {
      String name = shares.get(part).service();
      EntryReference reference = new EntryReference(EntryField.SHARE_SERVICE, index, part);
      if (name.isBlank()) {
        findings.add(EntryFinding.error("the route names no service", reference));
      } else if (!checked.serviceNames().contains(name)) {
        findings.add(EntryFinding.error("the service '" + name + "' is not declared", reference));
      } else if (!names.add(name)) {
        findings.add(
            EntryFinding.warning("the service '" + name + "' has more than one share", reference));
      }
    }
  }
}
