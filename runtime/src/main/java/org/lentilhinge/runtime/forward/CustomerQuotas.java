package org.lentilhinge.runtime.forward;

import com.codahale.metrics.MetricRegistry;
import java.util.Locale;
import java.util.Optional;
import org.lentilhinge.allowance.AllowanceAccounts;
import org.lentilhinge.allowance.AllowanceDecision;
import org.lentilhinge.allowance.AllowanceReport;
import org.lentilhinge.customer.Allowance;
import org.lentilhinge.customer.CallerIdentity;
import org.lentilhinge.customer.Customer;
import org.lentilhinge.customer.DeclaredCustomers;
import org.lentilhinge.overlay.HostOverlay;

/** Charges requests to the quotas of customers, and exchanges their use with other hosts. */
final class CustomerQuotas {

  /** The reason of the refusal of a request that exceeds the quota of its customer. */
  static final String OVER_ALLOWANCE = "over-allowance";

  /** The change of the share that is logged; a few hosts come and go all the time. */
  private static final double LOGGED_CHANGE = 0.05;

  private final HostContext context;
  private final HostOverlay hosts;
  private final AllowanceAccounts accounts;
  private double loggedShare = 1;

  /**
   * A request that was charged to a customer.
   *
   * @param customer the name of the customer
   * @param units the units of the request
   */
  record Charge(String customer, long units) {}

  CustomerQuotas(HostContext context, HostOverlay hosts) {
    this.context = context;
    this.hosts = hosts;
    ForwardSettings settings = context.settings();
    boolean othersExpected =
        settings.seeds().stream()
            .map(HostNames::ofAddress)
            .anyMatch(seed -> !seed.equals(settings.host()));
    accounts =
        new AllowanceAccounts(
            settings.bounds().quota(), hosts.self().life(), othersExpected, context.now());
    context
        .metrics()
        .gauge(MetricRegistry.name("forward", "allowance", "share"), () -> accounts::share);
  }

  AllowanceAccounts accounts() {
    return accounts;
  }

  void apply(DeclaredCustomers customers) {
    accounts.apply(customers.customers(), context.now());
  }

  /**
   * Charges a request to its customer, or answers it with 429.
   *
   * @return the charge, which is empty for a request without a customer; nothing if the request was
   *     refused
   */
  Optional<Optional<Charge>> charge(
      CallerExchange exchange, RequestMetadata metadata, CallerIdentity identity) {
    if (identity.customer().isEmpty()) {
      return Optional.of(Optional.empty());
    }
    Customer customer = identity.customer().get();
    long units = units(customer.allowance(), metadata);
    AllowanceDecision decision = accounts.admit(customer.name(), units, context.now());
    if (decision.admitted()) {
      return Optional.of(Optional.of(new Charge(customer.name(), units)));
    }
    context
        .log()
        .line(
            "refuse",
            "id",
            metadata.requestId().orElse("-"),
            "status",
            429,
            "why",
            OVER_ALLOWANCE,
            "customer",
            customer.name(),
            "units",
            units,
            "debt",
            Math.round(decision.debt()),
            "share",
            format(decision.share()),
            "retryMs",
            decision.retryMillis());
    count("refused." + OVER_ALLOWANCE);
    exchange.respond(429, Optional.of(decision.retryMillis()), OVER_ALLOWANCE);
    return Optional.empty();
  }

  private static long units(Allowance allowance, RequestMetadata metadata) {
    return allowance.tokens() ? metadata.tokens().orElse(allowance.plainTokens()) : 1;
  }

  /** Refunds a request that has certainly not run. */
  void refund(Charge charge) {
    accounts.refund(charge.customer(), charge.units(), context.now());
    count("allowance.refunds");
  }

  /** Returns the report that is due for other hosts. Must be called every 200 ms. */
  Optional<AllowanceReport> report() {
    if (!accounts.isLimited()) {
      return Optional.empty();
    }
    int sharingHosts = hosts.sharingHostCount();
    accounts.setHosts(sharingHosts, context.now());
    double share = accounts.share();
    boolean changed =
        Math.abs(share - loggedShare) >= LOGGED_CHANGE || share == 1 && loggedShare != 1;
    if (changed) {
      loggedShare = share;
      context
          .log()
          .line(
              "allowance-share",
              "share",
              format(share),
              "heard",
              accounts.heardHosts(),
              "hosts",
              accounts.sharingHosts());
    }
    return accounts.report(sharingHosts, context.now());
  }

  void receive(String host, AllowanceReport report) {
    accounts.receive(host, report, context.now());
  }

  private void count(String name) {
    context.metrics().counter(MetricRegistry.name("forward", name)).inc();
  }

  private static String format(double share) {
    return String.format(Locale.ROOT, "%.3f", share);
  }
}
