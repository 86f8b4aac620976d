package org.lentilhinge.published.check;

import java.util.ArrayList;
import java.util.List;
import org.lentilhinge.forward.ForwardRoute;
import org.lentilhinge.forward.ServiceShare;

/** Finds shares of routes that get no requests. */
final class ShareWeightCheck implements PublishedCheck {

  @Override
  public List<EntryFinding> check(CheckedConfiguration checked) {
    List<EntryFinding> findings = new ArrayList<>();
    List<ForwardRoute> routes = checked.configuration().routes();
    for (int index = 0; index < routes.size(); index++) {
      List<ServiceShare> shares = routes.get(index).shares();
      boolean anyWeight = shares.stream().anyMatch(share -> share.weight() > 0);
      for (int part = 0; part < shares.size(); part++) {
        EntryReference reference = new EntryReference(EntryField.SHARE_WEIGHT, index, part);
        if (shares.get(part).weight() < 0) {
          findings.add(EntryFinding.error("the weight is below 0", reference));
        } else if (shares.get(part).weight() == 0 && anyWeight) {
          findings.add(
              EntryFinding.warning("the share has weight 0 and gets no requests", reference));
        } else if (!anyWeight && part == 0) {
          findings.add(
              EntryFinding.error(
                  "all shares have weight 0: the first one gets all requests", reference));
        }
      }
      if (shares.stream().mapToLong(ServiceShare::weight).sum() > Integer.MAX_VALUE) {
        findings.add(
            EntryFinding.error(
                "the sum of the weights exceeds " + Integer.MAX_VALUE,
                new EntryReference(EntryField.SHARE_WEIGHT, index, 0)));
      }
    }
    return findings;
  }
}
