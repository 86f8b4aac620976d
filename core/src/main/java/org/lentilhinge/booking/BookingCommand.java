package org.lentilhinge.booking;

import org.lentilhinge.configuration.ServiceInstance;
import org.lentilhinge.identity.AttemptId;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.identity.RequestId;
import org.lentilhinge.message.PeerMessage;

/** A command of the booking state machines to the runtime. */
public sealed interface BookingCommand {

  /**
   * Sends a message to an entry host. A message to this host itself is delivered locally.
   *
   * @param receiver the receiver
   * @param message the message
   */
  record SendMessage(HostId receiver, PeerMessage message) implements BookingCommand {}

  /**
   * Sends a call to the service once, on a new connection, without retries and without following
   * redirects. Immediately before the first byte is written, {@link BookingPartitionOwner#mayStart}
   * must be called.
   *
   * @param attempt the attempt, which identifies the call when its result is reported
   * @param instance the instance to call
   * @param key the key, whose value is sent as Idempotency-Key
   * @param call the call
   * @param timeoutMillis the time to wait for the response, in milliseconds
   */
  record CallService(
      AttemptId attempt,
      ServiceInstance instance,
      BookingKey key,
      BookingCall call,
      long timeoutMillis)
      implements BookingCommand {}

  /**
   * Reports the outcome to the caller. No further command follows for the request.
   *
   * @param request the request
   * @param outcome the outcome
   */
  record CompleteCall(RequestId request, BookingOutcome outcome) implements BookingCommand {}

  /** Reports that the planned stop no longer has to wait for bookings. */
  record FinishHandOver() implements BookingCommand {}
}
