package org.lentilhinge.published.check;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.lentilhinge.forward.ForwardConfiguration;

/** Runs all checks of a published configuration. */
public final class PublishedChecks {

  private static final List<PublishedCheck> CHECKS =
      List.of(
          new RouteAddressCheck(),
          new DuplicateRouteCheck(),
          new RouteNameCheck(),
          new RouteServiceCheck(),
          new ShareWeightCheck(),
          new RouteTimeCheck(),
          new RouteAttemptsCheck(),
          new ServiceNameCheck(),
          new ServiceCapacityCheck(),
          new CustomerNameCheck(),
          new CustomerKeyCheck(),
          new AllowanceCheck(),
          new CallerLimitCheck());

  private PublishedChecks() {}

  /**
   * Checks a configuration.
   *
   * @param checked the configuration
   * @param inForce the configuration that hosts apply at present, if it is known
   * @return the findings of all checks
   */
  public static List<EntryFinding> run(
      CheckedConfiguration checked, Optional<ForwardConfiguration> inForce) {
    List<EntryFinding> findings = new ArrayList<>();
    inForce.ifPresent(
        former -> findings.addAll(new RisingVersionCheck(former.version()).check(checked)));
    CHECKS.forEach(check -> findings.addAll(check.check(checked)));
    return findings;
  }
}
