package org.lentilhinge.booking;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.lentilhinge.identity.AttemptId;
import org.lentilhinge.identity.EndpointId;

/** The record of one key at its partition owner. */
final class TableEntry {

  private final BookingKey key;
  private final long fingerprint;
  private final long createdAtMillis;
  private Optional<AttemptId> attempt = Optional.empty();
  private Optional<RunningCall> run = Optional.empty();
  private BookingState state = BookingState.NOT_RUN;
  private BookingReason reason = BookingReason.SERVICE_UNREACHABLE;
  private Optional<BookingResponse> response = Optional.empty();
  private int refusalCount;

  TableEntry(BookingKey key, long fingerprint, long createdAtMillis) {
    this.key = key;
    this.fingerprint = fingerprint;
    this.createdAtMillis = createdAtMillis;
  }

  static TableEntry of(BookingEntry received, long nowMillis) {
    TableEntry entry =
        new TableEntry(received.key(), received.fingerprint(), nowMillis - received.ageMillis());
    entry.state = received.state();
    entry.reason = received.reason();
    entry.response = received.response();
    entry.refusalCount = received.refusalCount();
    return entry;
  }

  BookingKey key() {
    return key;
  }

  long fingerprint() {
    return fingerprint;
  }

  long createdAtMillis() {
    return createdAtMillis;
  }

  int refusalCount() {
    return refusalCount;
  }

  BookingState state() {
    return state;
  }

  boolean isRunning() {
    return run.isPresent();
  }

  RunningCall run() {
    return run.orElseThrow();
  }

  Optional<AttemptId> attempt() {
    return attempt;
  }

  void start(RunningCall call) {
    run = Optional.of(call);
  }

  void recordAttempt(AttemptId current) {
    attempt = Optional.of(current);
  }

  void clearAttempt() {
    attempt = Optional.empty();
  }

  void recordResponse(BookingResponse received, int maximumBytes) {
    run = Optional.empty();
    state = BookingState.RAN;
    boolean kept = received.body().length <= maximumBytes;
    reason = kept ? BookingReason.ANSWERED : BookingReason.ANSWER_NOT_KEPT;
    response = kept ? Optional.of(received) : Optional.empty();
  }

  void recordUnknown(BookingReason cause) {
    run = Optional.empty();
    state = BookingState.UNKNOWN;
    reason = cause;
  }

  void recordNotRun(BookingReason cause) {
    run = Optional.empty();
    state = BookingState.NOT_RUN;
    reason = cause;
    refusalCount++;
  }

  /**
   * Returns the entry for the successor; a call that is still running is handed over as unknown.
   */
  BookingEntry toBookingEntry(long nowMillis) {
    BookingState handedState = isRunning() ? BookingState.UNKNOWN : state;
    BookingReason handedReason = isRunning() ? BookingReason.SERVICE_SILENT : reason;
    return new BookingEntry(
        key,
        fingerprint,
        handedState,
        handedReason,
        response,
        refusalCount,
        nowMillis - createdAtMillis);
  }

  BookingOutcome outcome(long retryAfterMillis) {
    switch (state) {
      case RAN:
        return response.map(BookingOutcome::ran).orElseGet(BookingOutcome::ranWithoutResponse);
      case NOT_RUN:
        return BookingOutcome.notRun(reason, retryAfterMillis);
      default:
        return BookingOutcome.unknown(reason);
    }
  }

  /** A running call with the requests that wait for its outcome. */
  static final class RunningCall {

    private final BookingCall call;
    private final long deadlineAtMillis;
    private final Set<OutcomeWaiter> waiters = new HashSet<>();
    private final List<EndpointId> triedInstances = new ArrayList<>();
    private boolean possiblySent;

    RunningCall(BookingCall call, long deadlineAtMillis) {
      this.call = call;
      this.deadlineAtMillis = deadlineAtMillis;
    }

    BookingCall call() {
      return call;
    }

    long deadlineAtMillis() {
      return deadlineAtMillis;
    }

    Set<OutcomeWaiter> waiters() {
      return waiters;
    }

    List<EndpointId> triedInstances() {
      return triedInstances;
    }

    boolean isPossiblySent() {
      return possiblySent;
    }

    void markPossiblySent() {
      possiblySent = true;
    }
  }
}
