package org.lentilhinge.limit;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The request limits of all endpoints that this host knows, from its own responses or from other
 * hosts. A limit holds until a response of the same incarnation states another or none.
 */
public final class EndpointLimits {

  /**
   * The interval at which a known limit, or its end, is announced again while responses confirm it,
   * in milliseconds. Hosts that start or that were cut off learn of it in this time.
   */
  private static final long ANNOUNCEMENT_INTERVAL_MILLIS = 1_000;

  /** The longest time after which a refused caller is told to come back, in milliseconds. */
  private static final long MAXIMUM_RETRY_MILLIS = 2_000;

  private static final double MILLIS_PER_SECOND = 1_000;

  /** The interval at which refused callers of a brittle endpoint come back, in milliseconds. */
  private static final long BRITTLE_RETRY_INTERVAL_MILLIS = 20;

  private final Map<String, Entry> entries = new HashMap<>();
  private double share = 1;

  /** Creates limits that are all unknown. */
  public EndpointLimits() {}

  /**
   * What follows from a response.
   *
   * @param changed whether the limit has changed
   * @param announced whether to tell the other hosts
   */
  public record Update(boolean changed, boolean announced) {

    private static final Update NONE = new Update(false, false);
  }

  private static final class Entry {
    private final RequestRate rate = new RequestRate();
    private RequestLimit limit = RequestLimit.UNLIMITED;

    /** Whether any limit was ever stated; most endpoints never state one. */
    private boolean known;

    private long changedAtMillis;
    private long announcedAtMillis;
    private long exhaustedUntilMillis;
    private long nextRetryAtMillis;

    private void set(RequestLimit newLimit, long nowMillis) {
      known = true;
      limit = newLimit;
      changedAtMillis = nowMillis;
      exhaustedUntilMillis = nowMillis;
      rate.setLimit(newLimit, nowMillis);
    }
  }

  private Entry entry(String incarnation, long nowMillis) {
    return entries.computeIfAbsent(
        incarnation,
        unused -> {
          Entry created = new Entry();
          created.rate.setShare(share, nowMillis);
          return created;
        });
  }

  /**
   * Records what a response to this host states. A response to a request that was sent before the
   * last change may be older than the change, and does not raise the limit.
   *
   * @param incarnation the incarnation of the endpoint
   * @param stated the limit that the response states
   * @param sentAtMillis the time at which its request was sent, in milliseconds
   * @param nowMillis the current time, in milliseconds
   * @return whether the limit has changed, and whether the other hosts must be told
   */
  public Update recordResponse(
      String incarnation, RequestLimit stated, long sentAtMillis, long nowMillis) {
    Entry entry = entries.get(incarnation);
    boolean known = entry != null && entry.known;
    if (!known && stated.isUnlimited()) {
      return Update.NONE;
    }
    Entry current = entry(incarnation, nowMillis);
    boolean outdated =
        known && sentAtMillis < current.changedAtMillis && stated.isLooserThan(current.limit);
    if (outdated) {
      return Update.NONE;
    }
    boolean changed = !stated.equals(current.limit);
    if (changed) {
      current.set(stated, nowMillis);
    } else if (nowMillis - current.announcedAtMillis < ANNOUNCEMENT_INTERVAL_MILLIS) {
      return Update.NONE;
    }
    current.announcedAtMillis = nowMillis;
    return new Update(changed, true);
  }

  /**
   * Records what another host announces.
   *
   * @param announced the limit
   * @param nowMillis the current time, in milliseconds
   * @return whether the limit has changed
   */
  public boolean receive(EndpointLimit announced, long nowMillis) {
    if (announced.limit().isUnlimited() && !isKnown(announced.incarnation())) {
      return false;
    }
    Entry entry = entry(announced.incarnation(), nowMillis);
    entry.announcedAtMillis = nowMillis;
    boolean changed = !announced.limit().equals(entry.limit);
    if (changed) {
      entry.set(announced.limit(), nowMillis);
    }
    return changed;
  }

  /**
   * Records the limit that the sender of a permit request knows, unless this host already knows
   * more.
   *
   * @param incarnation the incarnation of the endpoint
   * @param limit the limit
   * @param nowMillis the current time, in milliseconds
   * @return whether the limit was not known before
   */
  public boolean learn(String incarnation, RequestLimit limit, long nowMillis) {
    return !isKnown(incarnation) && receive(new EndpointLimit(incarnation, limit), nowMillis);
  }

  private boolean isKnown(String incarnation) {
    Entry entry = entries.get(incarnation);
    return entry != null && entry.known;
  }

  /**
   * Looks up the limit of an endpoint.
   *
   * @param incarnation the incarnation of the endpoint
   * @return the limit, or empty if the endpoint states none
   */
  public Optional<RequestLimit> find(String incarnation) {
    return Optional.ofNullable(entries.get(incarnation))
        .map(entry -> entry.limit)
        .filter(limit -> !limit.isUnlimited());
  }

  /**
   * Returns the pacing of the requests for which this host issues the permits.
   *
   * @param incarnation the incarnation of the endpoint
   * @param nowMillis the current time, in milliseconds
   * @return the rate, which follows the limit
   */
  public RequestRate rate(String incarnation, long nowMillis) {
    return entry(incarnation, nowMillis).rate;
  }

  /**
   * Records that a permit was refused because of the limit.
   *
   * @param incarnation the incarnation of the endpoint
   * @param untilMillis the time until which no permit is requested, in milliseconds
   */
  public void recordExhausted(String incarnation, long untilMillis) {
    Entry entry = entries.get(incarnation);
    if (entry != null && !entry.limit.isUnlimited()) {
      entry.exhaustedUntilMillis = untilMillis;
    }
  }

  /**
   * Records that a request of this host to an endpoint has ended. A brittle endpoint, which lets no
   * request wait, has room again, so that the next permit may be requested at once.
   *
   * @param incarnation the incarnation of the endpoint
   * @param nowMillis the current time, in milliseconds
   */
  public void recordEnd(String incarnation, long nowMillis) {
    Entry entry = entries.get(incarnation);
    if (entry != null && entry.limit.isBrittle()) {
      entry.exhaustedUntilMillis = Math.min(entry.exhaustedUntilMillis, nowMillis);
    }
  }

  /**
   * Returns the endpoints for which no permit is to be requested yet.
   *
   * @param nowMillis the current time, in milliseconds
   * @return their incarnations, in a new set
   */
  public Set<String> exhausted(long nowMillis) {
    Set<String> exhausted = new HashSet<>();
    entries.forEach(
        (incarnation, entry) -> {
          if (entry.exhaustedUntilMillis > nowMillis) {
            exhausted.add(incarnation);
          }
        });
    return exhausted;
  }

  /**
   * Returns the time after which a refused caller may come back. Each call returns a later time, so
   * that refused callers do not come back all at once.
   *
   * @param incarnation the incarnation of the endpoint
   * @param nowMillis the current time, in milliseconds
   * @return the time, in milliseconds
   */
  public long retryMillis(String incarnation, long nowMillis) {
    Entry entry = entry(incarnation, nowMillis);
    long next = entry.nextRetryAtMillis + retryIntervalMillis(entry.limit);
    long earliest = Math.max(next, entry.exhaustedUntilMillis);
    entry.nextRetryAtMillis =
        Math.min(Math.max(earliest, nowMillis), nowMillis + MAXIMUM_RETRY_MILLIS);
    return entry.nextRetryAtMillis - nowMillis;
  }

  private static long retryIntervalMillis(RequestLimit limit) {
    return limit.hasRate()
        ? Math.round(MILLIS_PER_SECOND / limit.perSecond())
        : BRITTLE_RETRY_INTERVAL_MILLIS;
  }

  /**
   * Divides the limits among the parts of the hosts that may not hear each other. The larger part
   * uses the limits in full, as most often the other hosts have failed; the smaller one uses its
   * share, so that both together stay below one and a half times the limits.
   *
   * @param liveHosts the number of hosts that this host hears, with itself
   * @param allHosts the number of these and of the lost hosts that may still run
   * @param nowMillis the current time, in milliseconds
   */
  public void setHosts(int liveHosts, int allHosts, long nowMillis) {
    share = 2 * liveHosts > allHosts ? 1 : (double) liveHosts / allHosts;
    entries.values().forEach(entry -> entry.rate.setShare(share, nowMillis));
  }

  /**
   * Removes an endpoint.
   *
   * @param incarnation the incarnation that has ended
   */
  public void remove(String incarnation) {
    entries.remove(incarnation);
  }
}
