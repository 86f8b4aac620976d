package org.lentilhinge.allowance;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lentilhinge.customer.Allowance;
import org.lentilhinge.customer.Customer;

/**
 * The quotas of all customers, as one host keeps them. Each host decides alone on its requests, by
 * what it admitted itself and by the reports of the other hosts. All times are monotonic, in
 * milliseconds.
 */
public final class AllowanceAccounts {

  /**
   * The time after which a report is sent although no use has changed, in milliseconds. The timer
   * of reports runs every 200 ms and may be early, and the interval has to be 400 ms.
   */
  private static final long SILENT_INTERVAL_MILLIS = 300;

  /** The time between two reports of all customers, in milliseconds, in case reports were lost. */
  private static final long FULL_INTERVAL_MILLIS = 1_000;

  /**
   * The time from the first declaration of a limit on a running host until reports of the other
   * hosts are expected, in milliseconds. They apply the same configuration within about a second.
   */
  private static final long FIRST_REPORTS_MILLIS = 2_000;

  /** The time for which the mean use of the customers is kept, in milliseconds. */
  private static final long MEANS_MILLIS = 200;

  /** The time after the start over which the use before the start counts, in milliseconds. */
  private static final double FIRST_SECOND_MILLIS = 1_000;

  /**
   * The time for which hosts that are silent and customers that are not declared are remembered, in
   * milliseconds: that for which lost hosts are remembered. The counters of a customer that is
   * declared again then start at 0, which the other hosts accept because they have forgotten its
   * former counters after a window.
   */
  private static final long RETENTION_MILLIS = 600_000;

  private final AllowanceBounds bounds;
  private final long life;
  private final long startedAtMillis;
  private final QuotaShare quotaShare;
  private final Map<String, CustomerAccount> accounts = new LinkedHashMap<>();
  private final Map<String, CustomerAccount> declared = new LinkedHashMap<>();
  private final Map<String, AllowanceUse> reported = new HashMap<>();
  private final Map<String, HostUse> others = new HashMap<>();

  /** The times since which customers with an account have not been declared. */
  private final Map<String, Long> undeclared = new HashMap<>();

  private boolean configured;
  private boolean limited;
  private long reportedAtMillis = Long.MIN_VALUE / 2;
  private long fullReportAtMillis = Long.MIN_VALUE / 2;
  private long meansAtMillis = Long.MIN_VALUE / 2;
  private double meanRatio;
  private double meanUse;

  /**
   * Creates the accounts of a host that has just started.
   *
   * @param bounds what customers may use beyond their quotas
   * @param life a number that no earlier process of this host has used
   * @param othersExpected whether the host knows addresses of other hosts
   * @param nowMillis the current time
   */
  public AllowanceAccounts(
      AllowanceBounds bounds, long life, boolean othersExpected, long nowMillis) {
    this.bounds = bounds;
    this.life = life;
    this.startedAtMillis = nowMillis;
    this.quotaShare = new QuotaShare(othersExpected, bounds.over());
  }

  /**
   * Applies the customers of a configuration. A customer that was declared when this host started
   * begins with a debt of its burst, as of the start; one that is declared later begins without.
   *
   * @param customers the customers
   * @param nowMillis the current time
   */
  public void apply(Collection<Customer> customers, long nowMillis) {
    boolean wasLimited = limited;
    limited = customers.stream().anyMatch(customer -> !customer.allowance().isUnlimited());
    if (limited && !wasLimited && configured) {
      changeShare(() -> quotaShare.excuseUntil(nowMillis + FIRST_REPORTS_MILLIS), nowMillis);
    }
    declared.clear();
    for (Customer customer : customers) {
      CustomerAccount account = accounts.get(customer.name());
      if (account == null) {
        double debt = configured ? 0 : startDebt(customer.allowance(), nowMillis);
        account = new CustomerAccount(bounds, customer.allowance(), debt, nowMillis);
        accounts.put(customer.name(), account);
      } else {
        account.setAllowance(customer.allowance(), share(), nowMillis);
      }
      declared.put(customer.name(), account);
    }
    undeclared.keySet().removeAll(declared.keySet());
    accounts.keySet().stream()
        .filter(name -> !declared.containsKey(name))
        .forEach(name -> undeclared.putIfAbsent(name, nowMillis));
    configured = true;
  }

  private double startDebt(Allowance allowance, long nowMillis) {
    double regained = allowance.perSecond() * (nowMillis - startedAtMillis) / 1_000;
    return Math.max(0, allowance.burst() - regained) * share();
  }

  /**
   * Returns whether a customer with a limit is declared. If not, no reports are sent.
   *
   * @return whether any quota applies
   */
  public boolean isLimited() {
    return limited;
  }

  /**
   * Returns the share of the quotas that this host and those that it hears may use.
   *
   * @return the share, at most 1
   */
  public double share() {
    return quotaShare.share();
  }

  /**
   * Returns the number of hosts that are heard.
   *
   * @return the number, this host included
   */
  public int heardHosts() {
    return quotaShare.heardHosts();
  }

  /**
   * Returns the number of hosts that share the quotas.
   *
   * @return the number, this host included
   */
  public int sharingHosts() {
    return quotaShare.hosts();
  }

  /**
   * Decides whether a request is within the quota of its customer, and charges it if so.
   *
   * @param customer the name of the customer
   * @param units the units of the request
   * @param nowMillis the current time
   * @return the decision
   */
  public AllowanceDecision admit(String customer, long units, long nowMillis) {
    CustomerAccount account = declared.get(customer);
    return account == null
        ? new AllowanceDecision(true, 0, 0, share())
        : account.admit(Math.max(0, units), share(), quotaShare.hosts(), nowMillis);
  }

  /**
   * Returns the units of a request that was admitted and has certainly not run.
   *
   * @param customer the name of the customer
   * @param units the units
   * @param nowMillis the current time
   */
  public void refund(String customer, long units, long nowMillis) {
    CustomerAccount account = accounts.get(customer);
    if (account != null) {
      account.refund(Math.max(0, units), share(), nowMillis);
    }
  }

  /**
   * Determines the share of the quotas, and drops hosts and customers that are no longer
   * remembered. Must be called several times per second.
   *
   * @param hosts the number of hosts that share the quotas, as far as this host knows
   * @param nowMillis the current time
   */
  public void setHosts(int hosts, long nowMillis) {
    dropForgotten(nowMillis);
    if (limited) {
      changeShare(() -> quotaShare.update(hosts, nowMillis), nowMillis);
    }
  }

  private void dropForgotten(long nowMillis) {
    others.values().removeIf(other -> nowMillis - other.heardAtMillis() > RETENTION_MILLIS);
    undeclared.forEach(
        (name, sinceMillis) -> {
          if (nowMillis - sinceMillis > bounds.windowMillis()) {
            others.values().forEach(other -> other.forget(name));
          }
        });
    long retentionMillis = Math.max(RETENTION_MILLIS, bounds.windowMillis());
    undeclared.values().removeIf(sinceMillis -> nowMillis - sinceMillis > retentionMillis);
    accounts
        .keySet()
        .removeIf(name -> !declared.containsKey(name) && !undeclared.containsKey(name));
    reported.keySet().retainAll(accounts.keySet());
  }

  /** Returns the number of hosts whose counters are kept. */
  int rememberedHosts() {
    return others.size();
  }

  /** Returns the number of customers with an account or reported counters. */
  int rememberedCustomers() {
    return Math.max(accounts.size(), reported.size());
  }

  private void changeShare(Runnable change, long nowMillis) {
    double former = share();
    change.run();
    if (share() != former) {
      accounts.values().forEach(account -> account.setShare(former, share(), nowMillis));
    }
  }

  /**
   * Returns the report that is due for the other hosts. Must be called every 200 ms.
   *
   * @param hosts the number of hosts that share the quotas, as far as this host knows
   * @param nowMillis the current time
   * @return the report, or empty if none is due
   */
  public Optional<AllowanceReport> report(int hosts, long nowMillis) {
    if (!limited) {
      return Optional.empty();
    }
    boolean full = nowMillis - fullReportAtMillis >= FULL_INTERVAL_MILLIS;
    List<AllowanceUse> uses = new ArrayList<>();
    declared.forEach(
        (name, account) -> {
          if (account.hasChangedSince(reported.get(name)) || full && account.isUsed()) {
            AllowanceUse use = account.use(name, nowMillis);
            reported.put(name, use);
            uses.add(use);
          }
        });
    if (uses.isEmpty() && !full && nowMillis - reportedAtMillis < SILENT_INTERVAL_MILLIS) {
      return Optional.empty();
    }
    reportedAtMillis = nowMillis;
    fullReportAtMillis = full ? nowMillis : fullReportAtMillis;
    return Optional.of(new AllowanceReport(life, hosts, uses));
  }

  /**
   * Adds what another host has admitted since its last report.
   *
   * @param host the name of the host
   * @param report its report
   * @param nowMillis the current time
   */
  public void receive(String host, AllowanceReport report, long nowMillis) {
    HostUse other = others.computeIfAbsent(host, unused -> new HostUse(report.life(), nowMillis));
    if (!other.accept(report.life(), nowMillis)) {
      return;
    }
    quotaShare.recordReport(host, report.hosts(), nowMillis);
    // The debt at this host's start stands for all that was used before. What a host used that is
    // only heard now was not part of this host's share, with which the debt grows when it is.
    double firstFraction =
        Math.min(1, (nowMillis - startedAtMillis) / FIRST_SECOND_MILLIS) * share();
    for (AllowanceUse use : report.uses()) {
      CustomerAccount account = declared.get(use.customer());
      if (account != null) {
        account.recordOther(other.increase(use, firstFraction), share(), nowMillis);
      }
    }
  }

  /**
   * Returns the use of a customer over all hosts in the last four seconds in proportion to its
   * rate. The mean over the customers that have sent requests is 1. The use of a customer without a
   * limit is compared with the mean use.
   *
   * @param customer the name of the customer
   * @param nowMillis the current time
   * @return the relative use; 0 without requests
   */
  public double relativeUse(String customer, long nowMillis) {
    CustomerAccount account = declared.get(customer);
    if (account == null) {
      return 0;
    }
    updateMeans(nowMillis);
    double use = account.recentUse(nowMillis);
    boolean unlimited = account.allowance().isUnlimited();
    double mean = unlimited ? meanUse : meanRatio;
    double compared = unlimited ? use : use / account.allowance().perSecond();
    // Use that is more recent than the means has no means to be compared with.
    return mean > 0 ? compared / mean : use > 0 ? 1 : 0;
  }

  private void updateMeans(long nowMillis) {
    if (nowMillis - meansAtMillis < MEANS_MILLIS) {
      return;
    }
    meansAtMillis = nowMillis;
    double uses = 0;
    double ratios = 0;
    int active = 0;
    int activeLimited = 0;
    for (CustomerAccount account : declared.values()) {
      double use = account.recentUse(nowMillis);
      if (use > 0) {
        uses += use;
        active++;
        if (!account.allowance().isUnlimited()) {
          ratios += use / account.allowance().perSecond();
          activeLimited++;
        }
      }
    }
    meanUse = active == 0 ? 0 : uses / active;
    meanRatio = activeLimited == 0 ? 0 : ratios / activeLimited;
  }
}
