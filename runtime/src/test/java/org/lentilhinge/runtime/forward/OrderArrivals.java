package org.lentilhinge.runtime.forward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * Judges the orders that arrive at engines, whatever their results: two hosts must not use the same
 * fencing token, tokens must not fall, and two hosts must not send orders within one lease.
 */
final class OrderArrivals {

  private static final int MAXIMUM_TEXTS = 20;

  private final long leaseMillis;
  private final Map<String, History> histories = new HashMap<>();
  private final List<Violation> violations = new ArrayList<>();

  /** The ways in which two hosts may order the same engine. */
  enum Kind {
    EQUAL_TOKEN,
    LOWER_TOKEN,
    TURNS_WITHIN_LEASE
  }

  /**
   * An order at the engine.
   *
   * @param atMillis the time of its arrival, in milliseconds
   * @param engine the engine's id
   * @param host the host that sent it
   * @param token the fencing token
   * @param result how the engine judged it
   * @param counted whether the engine raised its count
   */
  record Arrival(
      long atMillis, String engine, String host, long token, OrderResult result, boolean counted) {}

  /**
   * Two orders that must not follow each other.
   *
   * @param kind the broken rule
   * @param former the first order
   * @param latter the second order
   */
  record Violation(Kind kind, Arrival former, Arrival latter) {}

  private static final class History {
    private final Map<Long, Arrival> byToken = new HashMap<>();
    private final Map<String, Arrival> latestByHost = new HashMap<>();
    private Arrival highest;
    private Arrival latest;
  }

  OrderArrivals(long leaseMillis) {
    this.leaseMillis = leaseMillis;
  }

  void record(Arrival arrival) {
    History history = histories.computeIfAbsent(arrival.engine(), unused -> new History());
    Arrival sameToken = history.byToken.putIfAbsent(arrival.token(), arrival);
    if (sameToken != null && !sameToken.host().equals(arrival.host())) {
      violations.add(new Violation(Kind.EQUAL_TOKEN, sameToken, arrival));
    }
    if (history.highest != null && arrival.token() < history.highest.token()) {
      violations.add(new Violation(Kind.LOWER_TOKEN, history.highest, arrival));
    } else {
      history.highest = arrival;
    }
    for (Arrival other : history.latestByHost.values()) {
      if (!other.host().equals(arrival.host())
          && arrival.atMillis() - other.atMillis() < leaseMillis) {
        violations.add(new Violation(Kind.TURNS_WITHIN_LEASE, other, arrival));
      }
    }
    history.latest = arrival;
    history.latestByHost.put(arrival.host(), arrival);
  }

  /** Indicates whether an order that is judged has arrived at an engine since a time. */
  boolean hasArrivalSince(String engine, long sinceMillis) {
    History history = histories.get(engine);
    return history != null
        && history.latestByHost.values().stream()
            .anyMatch(arrival -> arrival.atMillis() >= sinceMillis);
  }

  /** Returns the host whose order arrived last at an engine. */
  Optional<String> lastHost(String engine) {
    return Optional.ofNullable(histories.get(engine)).map(history -> history.latest.host());
  }

  List<Violation> violations() {
    return List.copyOf(violations);
  }

  /** Returns the number of violations of each kind, and the first of them. */
  String summary() {
    Map<Kind, Long> counts =
        violations.stream().collect(Collectors.groupingBy(Violation::kind, Collectors.counting()));
    return counts
        + violations.stream()
            .limit(MAXIMUM_TEXTS)
            .map(violation -> "\n  " + violation)
            .collect(Collectors.joining());
  }
}
