package org.lentilhinge.booking;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.lentilhinge.identity.AttemptId;
import org.lentilhinge.identity.EndpointId;

/** The record of one key at its partition owner. */
final class HomeEntry {

  private final BookingKey key;
  private final long fingerprint;
  private final long createdMillis;
  private Optional<AttemptId> attempt = Optional.empty();
  private Optional<HomeRun> run = Optional.empty();
  private BookingState state = BookingState.NOT_RUN;
  private BookingReason reason = BookingReason.SERVICE_UNREACHABLE;
  private Optional<BookingAnswer> answer = Optional.empty();
  private int round;

  HomeEntry(BookingKey key, long fingerprint, long createdAtMillis) {
    this.key = key;
    this.fingerprint = fingerprint;
    this.createdMillis = createdAtMillis;
  }

  static HomeEntry of(BookingEntry handed, long nowMillis) {
    HomeEntry entry =
        new HomeEntry(handed.key(), handed.fingerprint(), nowMillis - handed.ageMillis());
    entry.state = handed.state();
    entry.reason = handed.reason();
    entry.answer = handed.answer();
    entry.round = handed.round();
    return entry;
  }

  BookingKey key() {
    return key;
  }

  long fingerprint() {
    return fingerprint;
  }

  long createdMillis() {
    return createdMillis;
  }

  int round() {
    return round;
  }

  BookingState state() {
    return state;
  }

  boolean isRunning() {
    return run.isPresent();
  }

  HomeRun run() {
    return run.orElseThrow();
  }

  Optional<AttemptId> attempt() {
    return attempt;
  }

  void start(HomeRun call) {
    run = Optional.of(call);
  }

  void attemptStarted(AttemptId current) {
    attempt = Optional.of(current);
  }

  void attemptEnded() {
    attempt = Optional.empty();
  }

  void answered(BookingAnswer received, int maximumBytes) {
    run = Optional.empty();
    state = BookingState.RAN;
    boolean kept = received.body().length <= maximumBytes;
    reason = kept ? BookingReason.ANSWERED : BookingReason.ANSWER_NOT_KEPT;
    answer = kept ? Optional.of(received) : Optional.empty();
  }

  void unknown(BookingReason cause) {
    run = Optional.empty();
    state = BookingState.UNKNOWN;
    reason = cause;
  }

  void refused(BookingReason cause) {
    run = Optional.empty();
    state = BookingState.NOT_RUN;
    reason = cause;
    round++;
  }

  /**
   * Returns the entry for the successor; a call that is still running is handed over as unknown.
   */
  BookingEntry handed(long nowMillis) {
    BookingState handedState = isRunning() ? BookingState.UNKNOWN : state;
    BookingReason handedReason = isRunning() ? BookingReason.SERVICE_SILENT : reason;
    return new BookingEntry(
        key, fingerprint, handedState, handedReason, answer, round, nowMillis - createdMillis);
  }

  BookingOutcome outcome(long retryAfterMillis) {
    switch (state) {
      case RAN:
        return answer.map(BookingOutcome::ran).orElseGet(BookingOutcome::ranWithoutAnswer);
      case NOT_RUN:
        return BookingOutcome.notRun(reason, retryAfterMillis);
      default:
        return BookingOutcome.unknown(reason);
    }
  }

  /** A running call with the requests that wait for its outcome. */
  static final class HomeRun {

    private final BookingCall call;
    private final long deadlineMillis;
    private final Set<HomeWaiter> waiters = new HashSet<>();
    private final List<EndpointId> tried = new ArrayList<>();
    private boolean maybeSent;

    HomeRun(BookingCall call, long deadlineAtMillis) {
      this.call = call;
      this.deadlineMillis = deadlineAtMillis;
    }

    BookingCall call() {
      return call;
    }

    long deadlineMillis() {
      return deadlineMillis;
    }

    Set<HomeWaiter> waiters() {
      return waiters;
    }

    List<EndpointId> tried() {
      return tried;
    }

    boolean isMaybeSent() {
      return maybeSent;
    }

    void markMaybeSent() {
      maybeSent = true;
    }
  }
}
