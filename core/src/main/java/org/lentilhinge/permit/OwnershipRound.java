package org.lentilhinge.permit;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The rounds of queries of one host for the ownership of an engine. The host may own the engine
 * only with the word of each other live host, because what it has not heard proves nothing: a claim
 * may be lost on its way, or be older than the host itself.
 */
public final class OwnershipRound {

  /**
   * The time after its start for which the answers of a round count, in milliseconds. No host can
   * take the engine over meanwhile without the consent of this one, which ends the round.
   */
  private static final long VALIDITY_MILLIS = 5_000;

  /** The interval at which an unanswered query is sent again, in milliseconds. */
  private static final long REPEAT_MILLIS = 1_000;

  /**
   * The time for which a host objects to no other host after a round that gave it no ownership, in
   * milliseconds. Another one may reach the host or the engine that did not answer.
   */
  private static final long YIELD_MILLIS = 5_000;

  private final Map<String, Long> askedAtMillis = new HashMap<>();
  private final Set<String> consenting = new LinkedHashSet<>();
  private long number;
  private boolean open;
  private long startedAtMillis;
  private long blockedUntilMillis = Long.MIN_VALUE;
  private long yieldsUntilMillis = Long.MIN_VALUE;

  /**
   * Creates rounds without an open one.
   *
   * @param firstNumber the number before that of the first round; differs between two lives of a
   *     host, so that an answer to the former one does not count
   */
  public OwnershipRound(long firstNumber) {
    number = firstNumber;
  }

  /**
   * Starts a round unless one is open or an objection has not ended, and selects the hosts to ask.
   *
   * @param hosts the other live hosts
   * @param nowMillis the current time, in milliseconds
   * @return the hosts that a query has to be sent to now
   */
  public List<String> selectHosts(Collection<String> hosts, long nowMillis) {
    if (open && nowMillis - startedAtMillis > VALIDITY_MILLIS) {
      open = false;
      yieldsUntilMillis = nowMillis + YIELD_MILLIS;
    }
    if (!open && nowMillis >= blockedUntilMillis) {
      start(nowMillis);
    }
    List<String> due = new ArrayList<>();
    if (open) {
      for (String host : hosts) {
        Long askedAt = askedAtMillis.get(host);
        boolean unasked = askedAt == null || nowMillis - askedAt >= REPEAT_MILLIS;
        if (unasked && !consenting.contains(host)) {
          askedAtMillis.put(host, nowMillis);
          due.add(host);
        }
      }
    }
    return due;
  }

  private void start(long nowMillis) {
    open = true;
    number++;
    startedAtMillis = nowMillis;
    askedAtMillis.clear();
    consenting.clear();
  }

  /**
   * Selects a host to pass a repeated query on. The way from this host may be cut off alone.
   *
   * @param nowMillis the current time, in milliseconds
   * @return a host that has answered in the open round; empty if queries have not been repeated yet
   */
  public Optional<String> selectHelper(long nowMillis) {
    long repetition = (nowMillis - startedAtMillis) / REPEAT_MILLIS;
    return repetition == 0 || consenting.isEmpty()
        ? Optional.empty()
        : consenting.stream().skip(repetition % consenting.size()).findFirst();
  }

  /**
   * Returns the number of the latest round.
   *
   * @return the number that its queries state
   */
  public long number() {
    return number;
  }

  /**
   * Records that a host does not object.
   *
   * @param host the host
   * @param round the number of the round that it answered
   */
  public void recordConsent(String host, long round) {
    if (open && round == number) {
      consenting.add(host);
    }
  }

  /**
   * Ends the round because a host objects.
   *
   * @param round the number of the round that the host answered
   * @param waitMillis the time until the next round, in milliseconds
   * @param nowMillis the current time, in milliseconds
   * @return whether the objection ended the open round
   */
  public boolean recordObjection(long round, long waitMillis, long nowMillis) {
    if (!open || round != number) {
      return false;
    }
    cancel(waitMillis, nowMillis);
    return true;
  }

  /**
   * Ends the open round, if any.
   *
   * @param waitMillis the minimum time until the next round, in milliseconds
   * @param nowMillis the current time, in milliseconds
   */
  public void cancel(long waitMillis, long nowMillis) {
    open = false;
    blockedUntilMillis = Math.max(blockedUntilMillis, nowMillis + waitMillis);
  }

  /**
   * Returns whether all live hosts have consented in the open round.
   *
   * @param hosts the other live hosts
   * @param nowMillis the current time, in milliseconds
   * @return whether the host may own the engine
   */
  public boolean isGranted(Collection<String> hosts, long nowMillis) {
    return open && nowMillis - startedAtMillis <= VALIDITY_MILLIS && consenting.containsAll(hosts);
  }

  /**
   * Returns whether this host competes with others for the engine.
   *
   * @param nowMillis the current time, in milliseconds
   * @return whether a round is open and the last one was not in vain
   */
  public boolean isCompeting(long nowMillis) {
    return open && nowMillis - startedAtMillis <= VALIDITY_MILLIS && nowMillis >= yieldsUntilMillis;
  }

  /**
   * Returns the time until the next round may start.
   *
   * @param nowMillis the current time, in milliseconds
   * @return the time, in milliseconds; 0 if one is open or may start now
   */
  public long remainingMillis(long nowMillis) {
    return open ? 0 : Math.max(0, blockedUntilMillis - nowMillis);
  }
}
