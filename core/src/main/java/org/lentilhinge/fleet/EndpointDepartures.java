package org.lentilhinge.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * Decides when this host tells the others that endpoints leave. A departure that this host has read
 * from a response is announced at once. One from the store, or one whose latest announcement is a
 * while ago, is announced after a random delay, in which another host may have announced it: so
 * hosts that start or were cut off learn of it, at the cost of about one announcement an interval.
 */
public final class EndpointDepartures {

  /** The interval between two announcements of a departure by all hosts, in milliseconds. */
  private static final long ANNOUNCEMENT_INTERVAL_MILLIS = 1_000;

  /** The longest random delay of an announcement, in milliseconds. */
  private static final int MAXIMUM_DELAY_MILLIS = 200;

  /**
   * The time after the first knowledge of a departure for which it is announced, in milliseconds.
   * Most endpoints have stopped by then.
   */
  private static final long ANNOUNCED_MILLIS = 60_000;

  private final Map<String, Departure> departures = new HashMap<>();
  private final Random random;

  /** The times of a departure, in milliseconds. */
  private static final class Departure {
    private final long knownAtMillis;
    private long announceAtMillis;

    private Departure(long knownAtMillis) {
      this.knownAtMillis = knownAtMillis;
    }
  }

  /**
   * Creates departures of no endpoint.
   *
   * @param random spreads the announcements of many hosts
   */
  public EndpointDepartures(Random random) {
    this.random = random;
  }

  /**
   * Records what a response to this host states.
   *
   * @param incarnation the incarnation of the endpoint
   * @param nowMillis the current time, in milliseconds
   * @return whether the departure was not known before, so that it has to be announced at once
   */
  public boolean recordResponse(String incarnation, long nowMillis) {
    boolean first = !departures.containsKey(incarnation);
    if (first) {
      add(incarnation, nowMillis).announceAtMillis = nextAnnouncement(nowMillis);
    }
    return first;
  }

  /**
   * Records that the store lists the endpoint as leaving.
   *
   * @param incarnation the incarnation of the endpoint
   * @param nowMillis the current time, in milliseconds
   * @return whether the departure was not known before
   */
  public boolean recordListed(String incarnation, long nowMillis) {
    boolean first = !departures.containsKey(incarnation);
    if (first) {
      add(incarnation, nowMillis).announceAtMillis = nowMillis + delayMillis();
    }
    return first;
  }

  /**
   * Records what another host announces.
   *
   * @param incarnation the incarnation of an endpoint that is registered
   * @param nowMillis the current time, in milliseconds
   * @return whether the departure was not known before
   */
  public boolean receive(String incarnation, long nowMillis) {
    boolean first = !departures.containsKey(incarnation);
    Departure departure = first ? add(incarnation, nowMillis) : departures.get(incarnation);
    departure.announceAtMillis = nextAnnouncement(nowMillis);
    return first;
  }

  private Departure add(String incarnation, long nowMillis) {
    Departure departure = new Departure(nowMillis);
    departures.put(incarnation, departure);
    return departure;
  }

  private long nextAnnouncement(long nowMillis) {
    return nowMillis + ANNOUNCEMENT_INTERVAL_MILLIS + delayMillis();
  }

  private int delayMillis() {
    return random.nextInt(MAXIMUM_DELAY_MILLIS);
  }

  /**
   * Takes the departures to announce now. If any is due, all are announced in the same message.
   *
   * @param nowMillis the current time, in milliseconds
   * @return the incarnations; empty if none is due
   */
  public List<String> takeDue(long nowMillis) {
    boolean due =
        departures.values().stream()
            .anyMatch(
                departure ->
                    isAnnounced(departure, nowMillis) && nowMillis >= departure.announceAtMillis);
    if (!due) {
      return List.of();
    }
    List<String> announced =
        departures.entrySet().stream()
            .filter(entry -> isAnnounced(entry.getValue(), nowMillis))
            .map(Map.Entry::getKey)
            .sorted()
            .toList();
    announced.forEach(
        incarnation -> departures.get(incarnation).announceAtMillis = nextAnnouncement(nowMillis));
    return announced;
  }

  private static boolean isAnnounced(Departure departure, long nowMillis) {
    return nowMillis - departure.knownAtMillis < ANNOUNCED_MILLIS;
  }

  /**
   * Removes an endpoint.
   *
   * @param incarnation the incarnation that has ended
   */
  public void remove(String incarnation) {
    departures.remove(incarnation);
  }
}
