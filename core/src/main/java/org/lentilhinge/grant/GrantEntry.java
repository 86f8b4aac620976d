package org.lentilhinge.grant;

import java.util.LinkedHashSet;
import java.util.Set;
import org.lentilhinge.identity.RequestId;

/** The grant of a gateway for one version on one endpoint, and the requests that use it. */
final class GrantEntry {

  private static final long NOTHING = 0;

  private final Set<RequestId> waiters = new LinkedHashSet<>();
  private long untilMillis = Long.MIN_VALUE;
  private long usedMillis;
  private int inFlight;
  private int startedSinceTold;
  private long pendingSequence = NOTHING;
  private long pendingSentMillis;
  private long pendingUntilMillis;
  private int redirects;

  GrantEntry(long nowMillis) {
    usedMillis = nowMillis;
  }

  Set<RequestId> waiters() {
    return waiters;
  }

  int inFlight() {
    return inFlight;
  }

  boolean valid(long nowMillis) {
    return nowMillis < untilMillis;
  }

  long remainingMillis(long nowMillis) {
    return Math.max(0, untilMillis - nowMillis);
  }

  /** Records the start of a request. */
  void start(long nowMillis) {
    inFlight++;
    startedSinceTold++;
    usedMillis = nowMillis;
  }

  /** Records the end of a request. */
  void finish(long nowMillis) {
    if (inFlight == 0) {
      throw new IllegalStateException("no request is in flight");
    }
    inFlight--;
    usedMillis = nowMillis;
  }

  /** Returns the number of requests started since the last demand, plus those that wait. */
  int requestsToTell() {
    return Math.max(0, startedSinceTold + waiters.size());
  }

  /** Returns whether the grant can be released at once. */
  boolean unused() {
    return inFlight == 0 && waiters.isEmpty();
  }

  /** Records that a request for the grant is sent. */
  void sent(long sequence, long nowMillis, long replyTimeoutMillis) {
    startedSinceTold = -waiters.size();
    pendingSequence = sequence;
    pendingSentMillis = nowMillis;
    pendingUntilMillis = nowMillis + replyTimeoutMillis;
  }

  boolean pending() {
    return pendingSequence != NOTHING;
  }

  boolean answers(long sequence) {
    return pending() && pendingSequence == sequence;
  }

  boolean overdue(long nowMillis) {
    return pending() && nowMillis >= pendingUntilMillis;
  }

  /** Records the grant, which is valid from the time at which its request was sent. */
  void granted(long durationMillis, long driftMarginMillis) {
    untilMillis = Math.max(untilMillis, pendingSentMillis + durationMillis - driftMarginMillis);
    redirects = 0;
    cancel();
  }

  /** Extends the reply deadline while the owner loads the version. */
  void loading(long nowMillis, long loadTimeoutMillis) {
    pendingUntilMillis = nowMillis + loadTimeoutMillis;
  }

  /** Stops waiting for a reply. */
  void cancel() {
    pendingSequence = NOTHING;
  }

  /** Invalidates the grant for further requests. */
  void invalidate() {
    untilMillis = Long.MIN_VALUE;
  }

  /** Counts a redirect; returns whether it may be followed. */
  boolean redirect(int maximumRedirects) {
    redirects++;
    return redirects <= maximumRedirects;
  }

  /** Records that the owner has refused the grant. */
  void refused() {
    redirects = 0;
    cancel();
  }

  boolean renewable(long nowMillis, long grantMillis, long idleTimeoutMillis) {
    boolean used = inFlight > 0 || nowMillis - usedMillis < idleTimeoutMillis;
    return !pending() && used && untilMillis - nowMillis < grantMillis / 2;
  }

  boolean idle(long nowMillis, long idleTimeoutMillis) {
    boolean unused = inFlight == 0 && waiters.isEmpty() && !pending();
    return unused && (!valid(nowMillis) || nowMillis - usedMillis >= idleTimeoutMillis);
  }
}
