package org.lentilhinge.allowance;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.BiPredicate;
import org.lentilhinge.customer.Allowance;
import org.lentilhinge.customer.Customer;
import org.lentilhinge.simulation.VirtualTimeSimulation;

/**
 * 77 hosts in 6 zones and 2 regions that keep the quotas of 16 customers, in virtual time. Requests
 * arrive at random hosts; reports take 200 to 400 ms, and 30 ms more between regions.
 */
final class AllowanceSimulation extends VirtualTimeSimulation {

  static final int HOSTS = 77;
  static final int ZONES = 6;
  static final String SMALL = "small";
  static final String LARGE = "c1";

  /** The rate of the small customer, in tokens per second, and 1.8 times its usual use. */
  static final double SMALL_RATE = 7_560;

  private static final int TOKENS = 2_100;
  private static final double LIMIT_PER_USE = 1.8;
  private static final double BURST_SECONDS = 2;
  private static final long INTERVAL_MILLIS = 200;
  private static final long REGION_MILLIS = 30;

  private final Random random;
  private final AllowanceAccounts[] hosts = new AllowanceAccounts[HOSTS];
  private final int[] lives = new int[HOSTS];
  private final String[] names = new String[HOSTS];
  private final Map<String, Double> requestsPerSecond = new HashMap<>();
  private final List<Arrival> arrivals = new ArrayList<>();
  private List<Customer> customers = new ArrayList<>();
  private BiPredicate<Integer, Integer> connected = (from, to) -> true;
  private double lossRate;
  private int knownHosts = HOSTS;

  /** A request and whether it ran. */
  record Arrival(long atMillis, int host, String customer, boolean admitted, long retryMillis) {}

  AllowanceSimulation(long seed) {
    random = new Random(seed);
    addCustomer(SMALL, 2);
    for (int index = 1; index < 16; index++) {
      // A few customers are large.
      addCustomer("c" + index, index <= 3 ? 45 : 7);
    }
    for (int host = 0; host < HOSTS; host++) {
      start(host);
      int started = host;
      schedule(random.nextInt((int) INTERVAL_MILLIS), () -> publish(started));
    }
  }

  private void addCustomer(String name, double usualRequestsPerSecond) {
    requestsPerSecond.put(name, usualRequestsPerSecond);
    customers.add(customer(name, usualRequestsPerSecond * TOKENS * LIMIT_PER_USE));
    scheduleArrival(name);
  }

  private static Customer customer(String name, double rate) {
    Allowance allowance = new Allowance(rate, rate * BURST_SECONDS, true, TOKENS);
    return new Customer(name, List.of(), Optional.empty(), allowance);
  }

  static int zone(int host) {
    return host % ZONES;
  }

  static int region(int host) {
    return zone(host) / 3;
  }

  /** Replaces a host by a new one; the former one is known as lost. */
  void join(int host) {
    knownHosts++;
    start(host);
    names[host] = "joined-" + host;
  }

  /** Starts or restarts a host, which knows the configuration but no other host. */
  void start(int host) {
    lives[host]++;
    names[host] = String.valueOf(host);
    hosts[host] =
        new AllowanceAccounts(AllowanceBounds.DEFAULT, host * 1_000L + lives[host], true, now());
    hosts[host].apply(customers, now());
  }

  void setConnected(BiPredicate<Integer, Integer> next) {
    connected = next;
  }

  void setLossRate(double rate) {
    lossRate = rate;
  }

  /** Changes the demand of a customer. */
  void multiplyDemand(String customer, double factor) {
    requestsPerSecond.computeIfPresent(customer, (name, rate) -> rate * factor);
  }

  /** Lowers the limit of a customer on all hosts. */
  void setRate(String customer, double rate) {
    customers =
        new ArrayList<>(
            customers.stream()
                .map(entry -> entry.name().equals(customer) ? customer(customer, rate) : entry)
                .toList());
    for (AllowanceAccounts accounts : hosts) {
      accounts.apply(customers, now());
    }
  }

  AllowanceAccounts host(int index) {
    return hosts[index];
  }

  private void publish(int host) {
    schedule(INTERVAL_MILLIS, () -> publish(host));
    hosts[host].setHosts(knownHosts, now());
    Optional<AllowanceReport> report = hosts[host].report(knownHosts, now());
    if (report.isEmpty()) {
      return;
    }
    // The relay of each zone passes the report on to all hosts of its zone.
    for (int zone = 0; zone < ZONES; zone++) {
      if (random.nextDouble() >= lossRate) {
        long regionDelay = region(host) == region(zone) ? 0 : REGION_MILLIS;
        int first = zone;
        schedule(200 + random.nextInt(201) + regionDelay, () -> deliver(host, first, report.get()));
      }
    }
  }

  private void deliver(int sender, int firstReceiver, AllowanceReport report) {
    String name = names[sender];
    for (int receiver = firstReceiver; receiver < HOSTS; receiver += ZONES) {
      if (receiver != sender && connected.test(sender, receiver)) {
        hosts[receiver].receive(name, report, now());
      }
    }
  }

  private void scheduleArrival(String customer) {
    double perSecond = requestsPerSecond.get(customer);
    long gap = Math.max(1, Math.round(-Math.log(1 - random.nextDouble()) * 1_000 / perSecond));
    schedule(
        gap,
        () -> {
          int host = random.nextInt(HOSTS);
          AllowanceDecision decision = hosts[host].admit(customer, TOKENS, now());
          arrivals.add(
              new Arrival(now(), host, customer, decision.admitted(), decision.retryMillis()));
          scheduleArrival(customer);
        });
  }

  void runUntil(long endMillis) {
    runEventsUntil(endMillis);
  }

  /** Returns the requests of a time. */
  List<Arrival> arrivals(long fromMillis, long toMillis) {
    return arrivals.stream()
        .filter(entry -> entry.atMillis() >= fromMillis && entry.atMillis() < toMillis)
        .toList();
  }

  /** Returns the number of requests of a customer that were refused. */
  long refused(String customer, long fromMillis, long toMillis) {
    return arrivals(fromMillis, toMillis).stream()
        .filter(entry -> entry.customer().equals(customer) && !entry.admitted())
        .count();
  }

  /**
   * Returns the highest use in a window of 8 s, in proportion to what a customer may use in it
   * without any tolerance.
   */
  double highestUse(String customer, long fromMillis) {
    Allowance allowance =
        customers.stream()
            .filter(entry -> entry.name().equals(customer))
            .findFirst()
            .get()
            .allowance();
    List<Arrival> ran =
        arrivals(fromMillis, now()).stream()
            .filter(entry -> entry.admitted() && entry.customer().equals(customer))
            .toList();
    int first = 0;
    int most = 0;
    for (int last = 0; last < ran.size(); last++) {
      while (ran.get(last).atMillis() - ran.get(first).atMillis() >= 8_000) {
        first++;
      }
      most = Math.max(most, last - first + 1);
    }
    return most * TOKENS / (allowance.perSecond() * 8 + allowance.burst());
  }

  double highestUse(long fromMillis) {
    return customers.stream()
        .mapToDouble(entry -> highestUse(entry.name(), fromMillis))
        .max()
        .orElse(0);
  }
}
