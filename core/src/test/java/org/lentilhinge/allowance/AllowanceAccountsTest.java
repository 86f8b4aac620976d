package org.lentilhinge.allowance;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import org.lentilhinge.customer.Allowance;
import org.lentilhinge.customer.Customer;
import org.testng.annotations.Test;

/** Tests the accounts of one host. */
public class AllowanceAccountsTest {

  private static final long LATER = 100_000;

  private static List<Customer> customer(double perSecond, double burst) {
    Allowance allowance = new Allowance(perSecond, burst, true, 0);
    return List.of(new Customer("acme", List.of(), Optional.empty(), allowance));
  }

  /** Returns the accounts of a host that has run for long and hears no other one. */
  private static AllowanceAccounts accounts(double perSecond, double burst) {
    AllowanceAccounts accounts = new AllowanceAccounts(AllowanceBounds.DEFAULT, 1, false, 0);
    accounts.apply(customer(perSecond, burst), 0);
    return accounts;
  }

  private static AllowanceReport report(long life, long admitted, long lastSecond) {
    AllowanceUse use = new AllowanceUse("acme", admitted, 0, admitted, lastSecond);
    return new AllowanceReport(life, 1, List.of(use));
  }

  private static double debt(AllowanceAccounts accounts, long now) {
    return accounts.admit("acme", 0, now).debt();
  }

  // A restart would have given a customer its burst once more.
  @Test
  public void startedHostHasNothingSavedUpButLaterCustomersHave() {
    AllowanceAccounts accounts = accounts(100, 200);
    assertFalse(accounts.admit("acme", 100, 500).admitted());
    assertTrue(accounts.admit("acme", 100, 1_000).admitted());
    AllowanceAccounts running = new AllowanceAccounts(AllowanceBounds.DEFAULT, 1, true, 0);
    running.apply(List.of(), 0);
    running.apply(customer(100, 200), 500);
    assertTrue(running.admit("acme", 200, 500).admitted());
  }

  @Test
  public void refundedUnitsAreAvailableAgain() {
    AllowanceAccounts accounts = accounts(100, 200);
    assertTrue(accounts.admit("acme", 200, LATER).admitted());
    AllowanceDecision refused = accounts.admit("acme", 50, LATER);
    assertEquals(refused, new AllowanceDecision(false, 500, 200, 1));
    accounts.refund("acme", 200, LATER);
    assertTrue(accounts.admit("acme", 200, LATER).admitted());
  }

  // A request larger than the burst would never have been served.
  @Test
  public void requestLargerThanTheBurstRunsIfNothingIsOwed() {
    AllowanceAccounts accounts = accounts(100, 200);
    assertTrue(accounts.admit("acme", 900, LATER).admitted());
    assertFalse(accounts.admit("acme", 900, LATER + 8_000).admitted());
    assertTrue(accounts.admit("acme", 900, LATER + 9_000).admitted());
    assertFalse(accounts.admit("acme", 1_251, LATER + 90_000).admitted());
  }

  // Two relays pass on each report, one of them late; a sum of all would count twice.
  @Test
  public void repeatedAndLateReportsChangeNothing() {
    AllowanceAccounts accounts = accounts(100, 1_000);
    accounts.receive("h", report(7, 500, 100), LATER);
    accounts.receive("h", report(7, 530, 130), LATER);
    accounts.receive("h", report(7, 500, 100), LATER);
    accounts.receive("h", report(7, 530, 130), LATER);
    assertEquals(debt(accounts, LATER), 130, 0);
    accounts.receive("h", report(8, 20, 20), LATER);
    accounts.receive("h", report(7, 540, 140), LATER);
    accounts.receive("h", report(8, 20, 20), LATER);
    assertEquals(debt(accounts, LATER), 150, 0);
  }

  // Refunds of what another host had admitted before its first report lowered the debt of others.
  @Test
  public void onlyUnitsThatWereAddedAreRefunded() {
    AllowanceAccounts accounts = accounts(100, 1_000);
    accounts.admit("acme", 300, LATER);
    accounts.receive("h", report(7, 500, 100), LATER);
    accounts.receive("h", refundReport(500, 400), LATER);
    assertEquals(debt(accounts, LATER), 300, 0);
    accounts.receive("h", refundReport(550, 470), LATER);
    assertEquals(debt(accounts, LATER), 300, 0);
    accounts.receive("h", refundReport(600, 480), LATER);
    assertEquals(debt(accounts, LATER), 340, 0);
  }

  private static AllowanceReport refundReport(long admitted, long refunded) {
    AllowanceUse use = new AllowanceUse("acme", admitted, refunded, admitted, 0);
    return new AllowanceReport(7, 1, List.of(use));
  }

  // After a partition, all that the other side had used was owed at once.
  @Test
  public void onlyTheLastSecondCountsAfterSilence() {
    AllowanceAccounts accounts = accounts(100, 1_000);
    accounts.receive("h", report(7, 500, 100), LATER);
    accounts.receive("h", report(7, 9_500, 90), LATER + 5_000);
    assertEquals(debt(accounts, LATER + 5_000), 90, 0);
  }

  // A relay that replaced a report by the next one lost the use of the customers in the first.
  @Test
  public void relayedReportsOfOneHostAreMerged() {
    AllowanceUse first = new AllowanceUse("a", 1, 0, 1, 1);
    AllowanceUse second = new AllowanceUse("b", 2, 0, 2, 2);
    AllowanceReport earlier = new AllowanceReport(1, 5, List.of(first));
    AllowanceReport later = new AllowanceReport(1, 6, List.of(second));
    assertEquals(later.addedTo(earlier), new AllowanceReport(1, 6, List.of(first, second)));
    AllowanceReport restarted = new AllowanceReport(2, 6, List.of(second));
    assertEquals(restarted.addedTo(earlier), restarted);
  }

  // The order of requests under shortage compares customers without a limit as well.
  @Test
  public void useWithoutLimitIsReportedAndCompared() {
    Customer unlimited = new Customer("free", List.of(), Optional.empty(), Allowance.UNLIMITED);
    AllowanceAccounts accounts = new AllowanceAccounts(AllowanceBounds.DEFAULT, 1, false, 0);
    accounts.apply(List.of(unlimited, customer(100, 200).get(0)), 0);
    assertTrue(accounts.admit("free", 300, LATER).admitted());
    assertTrue(accounts.admit("acme", 100, LATER).admitted());
    List<AllowanceUse> uses = accounts.report(1, LATER).orElseThrow().uses();
    assertEquals(uses.get(0), new AllowanceUse("free", 300, 0, 0, 300));
    assertEquals(uses.size(), 2);
    assertEquals(accounts.relativeUse("free", LATER), 1.5, 1e-9);
    assertEquals(accounts.relativeUse("acme", LATER), 1, 1e-9);
  }

  // Each host and each customer that had ever been seen was kept until the process ended.
  @Test
  public void silentHostsAndUndeclaredCustomersAreForgotten() {
    AllowanceAccounts accounts = accounts(100, 1_000);
    accounts.admit("acme", 10, LATER);
    accounts.report(1, LATER);
    accounts.receive("h", report(7, 500, 100), LATER);
    accounts.apply(List.of(), LATER);
    accounts.setHosts(1, LATER + 600_000);
    assertEquals(accounts.rememberedHosts(), 1);
    assertEquals(accounts.rememberedCustomers(), 1);
    accounts.setHosts(1, LATER + 600_001);
    assertEquals(accounts.rememberedHosts(), 0);
    assertEquals(accounts.rememberedCustomers(), 0);
  }

  // The counters of a customer that is declared anew start at 0 and would count as late reports.
  @Test
  public void countersOfCustomerDeclaredAnewAreAddedFromTheirStart() {
    AllowanceAccounts accounts = accounts(100, 1_000);
    accounts.receive("h", report(7, 500, 0), LATER);
    accounts.apply(List.of(), LATER);
    for (long now = LATER; now <= LATER + 9_000; now += 500) {
      accounts.receive("h", new AllowanceReport(7, 1, List.of()), now);
      accounts.setHosts(1, now);
    }
    accounts.apply(customer(100, 1_000), LATER + 9_000);
    accounts.receive("h", report(7, 40, 40), LATER + 9_000);
    assertEquals(debt(accounts, LATER + 9_000), 40, 0);
  }

  // A host that had not heard from others used the whole quota in addition to theirs.
  @Test
  public void shareFollowsTheHostsThatAreHeard() {
    AllowanceAccounts accounts = new AllowanceAccounts(AllowanceBounds.DEFAULT, 1, true, 0);
    accounts.apply(customer(100, 200), 0);
    assertEquals(accounts.share(), 0.01);
    accounts.receive("h", report(7, 0, 0), 1_000);
    accounts.setHosts(4, 1_000);
    assertEquals(accounts.share(), 0.55, 1e-9);
    accounts.setHosts(4, 1_200);
    accounts.setHosts(4, 1_400);
    accounts.setHosts(4, 1_600);
    accounts.setHosts(4, 1_801);
    assertEquals(accounts.share(), 0.275, 1e-9);
    accounts.receive("h", report(7, 0, 0), 1_900);
    accounts.setHosts(4, 1_900);
    // The reports of the time in which this process was paused are still in its sockets.
    accounts.setHosts(4, 3_500);
    assertEquals(accounts.share(), 0.55, 1e-9);
  }
}
