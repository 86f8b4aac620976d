package org.lentilhinge.admission;

import java.util.ArrayDeque;
import java.util.Deque;
import org.lentilhinge.identity.CallerId;

/**
 * Holds one caller's waiting requests of one urgency, with the caller's virtual time in the fair
 * queueing.
 */
final class CallerQueue {

  private final CallerId caller;
  private final int share;
  private final Deque<AdmissionRequest> requests = new ArrayDeque<>();
  private double virtualTime;

  CallerQueue(CallerId caller, int share) {
    this.caller = caller;
    this.share = share;
  }

  CallerId caller() {
    return caller;
  }

  int share() {
    return share;
  }

  Deque<AdmissionRequest> requests() {
    return requests;
  }

  boolean isEmpty() {
    return requests.isEmpty();
  }

  double virtualTime() {
    return virtualTime;
  }

  /**
   * Raises the virtual time to that of the callers being served, so that an idle caller gains no
   * precedence.
   */
  void raiseVirtualTime(double currentVirtualTime) {
    virtualTime = Math.max(virtualTime, currentVirtualTime);
  }

  AdmissionRequest take() {
    virtualTime += 1.0 / share;
    return requests.removeFirst();
  }

  double queuedPerShare() {
    return (double) requests.size() / share;
  }
}
