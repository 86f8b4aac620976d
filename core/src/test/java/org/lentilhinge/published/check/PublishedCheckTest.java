package org.lentilhinge.published.check;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import org.lentilhinge.customer.Allowance;
import org.lentilhinge.finding.Severity;
import org.lentilhinge.forward.EngineCapacity;
import org.lentilhinge.forward.ForwardConfiguration;
import org.lentilhinge.forward.ForwardLimits;
import org.lentilhinge.forward.ForwardRoute;
import org.lentilhinge.forward.ForwardService;
import org.lentilhinge.forward.RequestKind;
import org.lentilhinge.forward.ServiceShare;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests each kind of finding of a published configuration. */
public class PublishedCheckTest {

  private SampleConfiguration sample;

  @BeforeMethod
  public void createSample() {
    sample = new SampleConfiguration();
  }

  private List<EntryFinding> findings() {
    return PublishedChecks.run(sample.build(), Optional.empty());
  }

  /** Checks that there is exactly one finding. */
  private EntryFinding checkOnly(Severity severity, EntryReference reference, String message) {
    List<EntryFinding> findings = findings();
    assertEquals(findings.size(), 1, findings.toString());
    checkFinding(findings.get(0), severity, reference, message);
    return findings.get(0);
  }

  private static void checkFinding(
      EntryFinding finding, Severity severity, EntryReference reference, String message) {
    assertEquals(finding.severity(), severity, finding.toString());
    assertEquals(finding.subject(), reference, finding.toString());
    assertTrue(finding.message().contains(message), finding.toString());
  }

  private static EntryReference at(EntryField field, int index) {
    return EntryReference.of(field, index);
  }

  // A check that reports valid entries would be ignored, and with it the true findings.
  @Test
  public void validConfigurationHasNoFindings() {
    ForwardConfiguration former = new SampleConfiguration().build().configuration();
    sample.version = 8;
    assertEquals(PublishedChecks.run(sample.build(), Optional.of(former)), List.of());
  }

  // Hosts ignore a configuration whose version does not rise, and nobody notices.
  @Test
  public void findsVersionThatDoesNotRise() {
    Optional<ForwardConfiguration> former =
        Optional.of(new SampleConfiguration().build().configuration());
    for (long version : new long[] {6, 7}) {
      sample.version = version;
      List<EntryFinding> findings = PublishedChecks.run(sample.build(), former);
      assertEquals(findings.size(), 1, findings.toString());
      checkFinding(
          findings.get(0),
          Severity.ERROR,
          EntryReference.of(EntryField.VERSION),
          version + " does not rise above the version in force, 7");
    }
  }

  // No request matches such a route, although it is declared.
  @Test
  public void findsPrefixWithoutSlashes() {
    for (String prefix : List.of("audit/", "/audit", "", "/audit/?x/")) {
      sample.routes.set(
          0, SampleConfiguration.route("audit", "h", prefix, RequestKind.SAFE, 1, false));
      checkOnly(Severity.ERROR, at(EntryField.ROUTE_PREFIX, 0), "never matches");
    }
  }

  // Hosts compare the host name without its port, so that a route with a port never applies.
  @Test
  public void findsHostThatNeverMatches() {
    for (String host : List.of("", "h:80", "http//h", "h h", "H")) {
      sample.routes.set(
          0, SampleConfiguration.route("audit", host, "/", RequestKind.SAFE, 1, false));
      checkOnly(Severity.ERROR, at(EntryField.ROUTE_HOST, 0), "never matches");
    }
  }

  // Of two routes with the same address hosts silently apply the later one.
  @Test
  public void findsRouteThatLaterRouteReplaces() {
    sample.routes.set(
        0, SampleConfiguration.route("audit", "h.example", "/", RequestKind.SAFE, 1, false));
    EntryFinding finding = checkOnly(Severity.ERROR, at(EntryField.ROUTE, 0), "a later route");
    assertTrue(finding.references().contains(at(EntryField.ROUTE, 1)), finding.toString());
  }

  // The events of two routes with one name are not told apart.
  @Test
  public void findsRoutesWithTheSameName() {
    sample.routes.set(
        1, SampleConfiguration.route("audit", "h.example", "/", RequestKind.SAFE, 1, false));
    checkOnly(Severity.WARNING, at(EntryField.ROUTE_NAME, 1), "'audit'");
  }

  // No endpoint serves the requests of such a share.
  @Test
  public void findsRouteToUndeclaredService() {
    sample.routes.set(
        0,
        SampleConfiguration.route(
            900, 800, new ServiceShare("engines", 1), new ServiceShare("engine", 1)));
    checkOnly(
        Severity.ERROR,
        new EntryReference(EntryField.SHARE_SERVICE, 0, 1),
        "'engine' is not declared");
  }

  // Hosts cannot select a service for the requests of such a route.
  @Test
  public void findsRouteWithoutService() {
    sample.routes.set(0, SampleConfiguration.route(900, 800));
    checkOnly(Severity.ERROR, at(EntryField.ROUTE, 0), "no service");
    sample.routes.set(0, SampleConfiguration.route(900, 800, new ServiceShare("", 1)));
    checkOnly(Severity.ERROR, at(EntryField.SHARE_SERVICE, 0), "names no service");
  }

  // A repeated service gets the sum of its weights, not the one that a reader sees first.
  @Test
  public void findsServiceWithTwoShares() {
    ServiceShare share = new ServiceShare("engines", 1);
    sample.routes.set(0, SampleConfiguration.route(900, 800, share, share));
    checkOnly(
        Severity.WARNING,
        new EntryReference(EntryField.SHARE_SERVICE, 0, 1),
        "more than one share");
  }

  // A share of weight 0 gets no requests, and the first of several gets all of them.
  @Test
  public void findsShareWithoutWeight() {
    sample.services.add(new ForwardService("others", 10, Optional.empty()));
    EntryReference first = new EntryReference(EntryField.SHARE_WEIGHT, 0, 0);
    EntryReference second = new EntryReference(EntryField.SHARE_WEIGHT, 0, 1);
    setWeights(1, 0);
    checkOnly(Severity.WARNING, second, "gets no requests");
    setWeights(0, 0);
    checkOnly(Severity.ERROR, first, "all shares have weight 0");
    setWeights(1, -1);
    checkOnly(Severity.ERROR, second, "below 0");
    setWeights(Integer.MAX_VALUE, 1);
    checkOnly(Severity.ERROR, first, "the sum of the weights");
  }

  private void setWeights(int engines, int others) {
    sample.routes.set(
        0,
        SampleConfiguration.route(
            900, 800, new ServiceShare("engines", engines), new ServiceShare("others", others)));
  }

  // A target above the timeout lets requests wait until they are ended.
  @Test
  public void findsTargetAboveTimeout() {
    sample.gapTargets.clear();
    sample.routes.set(0, SampleConfiguration.route(900, 901, new ServiceShare("engines", 1)));
    checkOnly(Severity.WARNING, at(EntryField.ROUTE_TARGET, 0), "901 ms exceeds the timeout");
  }

  // A gap above the timeout is never observed, because the request ends before.
  @Test
  public void findsGapTargetAboveTimeout() {
    sample.gapTargets.put(1, 15_001L);
    checkOnly(Severity.WARNING, at(EntryField.ROUTE_GAP_TARGET, 1), "between events of 15001 ms");
  }

  // Without time no request is served.
  @Test
  public void findsTimesOfZero() {
    sample.gapTargets.clear();
    ServiceShare share = new ServiceShare("engines", 1);
    sample.routes.set(0, SampleConfiguration.route(0, 10, share));
    checkOnly(Severity.ERROR, at(EntryField.ROUTE_TIMEOUT, 0), "must be above 0");
    sample.routes.set(0, SampleConfiguration.route(900, 0, share));
    checkOnly(Severity.ERROR, at(EntryField.ROUTE_TARGET, 0), "must be above 0");
  }

  // Operators would count on retries that never happen.
  @Test
  public void findsMoreAttemptsThanTheKindAllows() {
    setRoute(RequestKind.UNSAFE, 2, false);
    checkOnly(Severity.WARNING, at(EntryField.ROUTE_ATTEMPTS, 0), "2 attempts");
    setRoute(RequestKind.STREAM, 2, false);
    checkOnly(Severity.WARNING, at(EntryField.ROUTE_ATTEMPTS, 0), "2 attempts");
    setRoute(RequestKind.SAFE, 0, false);
    checkOnly(Severity.ERROR, at(EntryField.ROUTE_ATTEMPTS, 0), "at least one");
  }

  // Responses other than streams cannot be resumed.
  @Test
  public void findsResumableRouteWithoutStreams() {
    setRoute(RequestKind.SAFE, 2, true);
    checkOnly(Severity.WARNING, at(EntryField.ROUTE_RESUMABLE, 0), "only streams");
  }

  private void setRoute(RequestKind kind, int maximumAttempts, boolean resumable) {
    ForwardRoute route =
        SampleConfiguration.route("audit", "h", "/audit/", kind, maximumAttempts, resumable);
    sample.routes.set(0, route);
  }

  // A service without a route is a misspelled or forgotten one.
  @Test
  public void findsServiceWithoutRoute() {
    sample.services.add(new ForwardService("others", 10, Optional.empty()));
    checkOnly(Severity.WARNING, at(EntryField.SERVICE_NAME, 1), "no route leads to");
  }

  // Hosts keep the later one of two services with the same name.
  @Test
  public void findsServicesThatCannotBeToldApart() {
    sample.services.add(0, new ForwardService("engines", 10, Optional.empty()));
    checkOnly(Severity.ERROR, at(EntryField.SERVICE_NAME, 0), "replaces this one");
    sample.services.set(0, new ForwardService("", 10, Optional.empty()));
    checkOnly(Severity.ERROR, at(EntryField.SERVICE_NAME, 0), "the name is empty");
  }

  // An endpoint without capacity runs no request.
  @Test
  public void findsServiceWithoutCapacity() {
    EngineCapacity engine = new EngineCapacity(0, 1, 0, List.of());
    sample.services.set(0, new ForwardService("engines", 1, Optional.of(engine)));
    checkOnly(Severity.ERROR, at(EntryField.SERVICE_BATCH_SLOTS, 0), "the capacity is 0");
    sample.services.set(0, new ForwardService("engines", 0, Optional.empty()));
    checkOnly(Severity.ERROR, at(EntryField.SERVICE_CONNECTIONS, 0), "the capacity is 0");
  }

  // Requests with a shared key count for another customer. A printed key would have to be changed.
  @Test
  public void findsKeyOfTwoCustomersWithoutPrintingIt() {
    sample.customers.add(
        SampleConfiguration.customer("coil", Allowance.UNLIMITED, "key-of-coil", "key-of-acme"));
    EntryFinding finding =
        checkOnly(
            Severity.ERROR, new EntryReference(EntryField.CUSTOMER_KEY, 2, 1), "customer 'acme'");
    assertEquals(finding.references().get(1), new EntryReference(EntryField.CUSTOMER_KEY, 0, 0));
    assertFalse(finding.message().contains("key-of"), finding.message());
  }

  // A key that is empty matches requests with an empty header.
  @Test
  public void findsEmptyAndRepeatedKeys() {
    sample.customers.set(0, SampleConfiguration.customer("acme", Allowance.UNLIMITED, "k", "k"));
    EntryReference second = new EntryReference(EntryField.CUSTOMER_KEY, 0, 1);
    checkOnly(Severity.WARNING, second, "the key is repeated");
    sample.customers.set(0, SampleConfiguration.customer("acme", Allowance.UNLIMITED, "k", ""));
    checkOnly(Severity.ERROR, second, "the key is empty");
  }

  // The use of two customers with one name is counted together.
  @Test
  public void findsCustomersThatCannotBeToldApart() {
    sample.customers.add(SampleConfiguration.customer("acme", Allowance.UNLIMITED, "key-2"));
    checkOnly(Severity.ERROR, at(EntryField.CUSTOMER_NAME, 2), "another customer");
    sample.customers.set(2, SampleConfiguration.customer("", Allowance.UNLIMITED, "key-2"));
    checkOnly(Severity.ERROR, at(EntryField.CUSTOMER_NAME, 2), "the name is empty");
  }

  // Such a customer gets requests through only when it owes nothing.
  @Test
  public void findsBurstBelowOnePlainRequest() {
    setAllowance(new Allowance(100, 199, true, 200));
    checkOnly(Severity.WARNING, at(EntryField.CUSTOMER_BURST, 0), "which is 200");
    setAllowance(new Allowance(100, 0.5, false, 200));
    checkOnly(Severity.WARNING, at(EntryField.CUSTOMER_BURST, 0), "which is 1");
  }

  // A rate of 0 is easily mistaken for no requests at all.
  @Test
  public void findsBurstWithoutLimit() {
    setAllowance(new Allowance(0, 100, true, 200));
    checkOnly(Severity.WARNING, at(EntryField.CUSTOMER_BURST, 0), "0 means no limit");
  }

  private void setAllowance(Allowance allowance) {
    sample.customers.set(0, SampleConfiguration.customer("acme", allowance, "key-of-acme"));
  }

  // Limits in the wrong order are most likely swapped.
  @Test
  public void findsBodyLimitBelowHeaderLimit() {
    sample.limits = new ForwardLimits(16_384, 16_383, 3_000, 15_000);
    checkOnly(
        Severity.WARNING, EntryReference.of(EntryField.BODY_LIMIT), "below the limit of the head");
  }

  // A limit of 0 refuses every request.
  @Test
  public void findsLimitsThatLetNothingPass() {
    sample.limits = new ForwardLimits(0, 10, 3_000, 15_000);
    checkOnly(Severity.ERROR, EntryReference.of(EntryField.HEADER_LIMIT), "the limit is 0");
    sample.limits = new ForwardLimits(10, 10, 0, 15_000);
    checkOnly(Severity.ERROR, EntryReference.of(EntryField.HEADER_TIMEOUT), "the limit is 0");
    sample.limits = new ForwardLimits(10, 10, 10, 0);
    checkOnly(Severity.ERROR, EntryReference.of(EntryField.IDLE_TIMEOUT), "the limit is 0");
  }

  // A check that stops at the first finding costs one run for each fault.
  @Test
  public void reportsAllFindingsAtOnce() {
    sample.limits = new ForwardLimits(0, 10, 0, 0);
    sample.gapTargets.put(1, 15_001L);
    setAllowance(new Allowance(100, 199, true, 200));
    assertEquals(findings().size(), 5, findings().toString());
  }
}
