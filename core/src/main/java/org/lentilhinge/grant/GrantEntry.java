package org.lentilhinge.grant;

import java.util.LinkedHashSet;
import java.util.Set;
import org.lentilhinge.identity.RequestId;

/** The grant of a gateway for one version on one endpoint, and the requests that use it. */
final class GrantEntry {

  private static final long NO_REQUEST = 0;

  private final Set<RequestId> waiters = new LinkedHashSet<>();
  private long validUntilMillis = Long.MIN_VALUE;
  private long lastUsedAtMillis;
  private int inFlight;
  private int startedSinceDemand;
  private long pendingSequence = NO_REQUEST;
  private long requestSentAtMillis;
  private long replyDeadlineAtMillis;
  private int redirects;

  GrantEntry(long nowMillis) {
    lastUsedAtMillis = nowMillis;
  }

  Set<RequestId> waiters() {
    return waiters;
  }

  int inFlight() {
    return inFlight;
  }

  boolean isValid(long nowMillis) {
    return nowMillis < validUntilMillis;
  }

  long remainingMillis(long nowMillis) {
    return Math.max(0, validUntilMillis - nowMillis);
  }

  /** Records the start of a request. */
  void recordStart(long nowMillis) {
    inFlight++;
    startedSinceDemand++;
    lastUsedAtMillis = nowMillis;
  }

  /** Records the end of a request. */
  void recordEnd(long nowMillis) {
    if (inFlight == 0) {
      throw new IllegalStateException("no request is in flight");
    }
    inFlight--;
    lastUsedAtMillis = nowMillis;
  }

  /** Returns the number of requests started since the last demand, plus those that wait. */
  int requestsToDemand() {
    return Math.max(0, startedSinceDemand + waiters.size());
  }

  /** Returns whether the grant can be released at once. */
  boolean isUnused() {
    return inFlight == 0 && waiters.isEmpty();
  }

  /** Records that a request for the grant is sent. */
  void recordRequestSent(long sequence, long nowMillis, long replyTimeoutMillis) {
    // The demand already counts the waiting requests, so their starts are not counted again.
    startedSinceDemand = -waiters.size();
    pendingSequence = sequence;
    requestSentAtMillis = nowMillis;
    replyDeadlineAtMillis = nowMillis + replyTimeoutMillis;
  }

  boolean isPending() {
    return pendingSequence != NO_REQUEST;
  }

  boolean isAnsweredBy(long sequence) {
    return isPending() && pendingSequence == sequence;
  }

  boolean isOverdue(long nowMillis) {
    return isPending() && nowMillis >= replyDeadlineAtMillis;
  }

  /** Records the grant, which is valid from the time at which its request was sent. */
  void recordGrant(long durationMillis, long driftMarginMillis) {
    validUntilMillis =
        Math.max(validUntilMillis, requestSentAtMillis + durationMillis - driftMarginMillis);
    redirects = 0;
    cancelPending();
  }

  /** Extends the reply deadline while the owner loads the version. */
  void extendReplyDeadline(long nowMillis, long loadTimeoutMillis) {
    replyDeadlineAtMillis = nowMillis + loadTimeoutMillis;
  }

  /** Stops waiting for a reply. */
  void cancelPending() {
    pendingSequence = NO_REQUEST;
  }

  /** Invalidates the grant for further requests. */
  void invalidate() {
    validUntilMillis = Long.MIN_VALUE;
  }

  /** Counts a redirect; returns whether it may be followed. */
  boolean tryRedirect(int maximumRedirects) {
    redirects++;
    return redirects <= maximumRedirects;
  }

  /** Records that the owner has refused the grant. */
  void recordRefusal() {
    redirects = 0;
    cancelPending();
  }

  boolean isDueForRenewal(long nowMillis, long grantMillis, long idleTimeoutMillis) {
    boolean used = inFlight > 0 || nowMillis - lastUsedAtMillis < idleTimeoutMillis;
    return !isPending() && used && validUntilMillis - nowMillis < grantMillis / 2;
  }

  boolean isIdle(long nowMillis, long idleTimeoutMillis) {
    boolean unused = inFlight == 0 && waiters.isEmpty() && !isPending();
    return unused && (!isValid(nowMillis) || nowMillis - lastUsedAtMillis >= idleTimeoutMillis);
  }
}
