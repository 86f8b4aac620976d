package org.lentilhinge.booking;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.lentilhinge.configuration.Service;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.identity.RequestId;
import org.lentilhinge.message.PeerMessage;

/**
 * Forwards the bookings that callers send to this entry host to the owner of their key, and reports
 * the outcome. A forward may be repeated at any time, because the owner runs a key at most once.
 * The gateway never decides on its own that a call did not run, because another entry host may have
 * received the same key.
 */
public final class BookingGateway {

  private static final int MAXIMUM_BACKOFF_DOUBLINGS = 3;

  private final BookingLimits limits;
  private final ServiceDirectory services;
  private final PartitionDirectory partitions;
  private final Map<RequestId, PendingBooking> pending = new HashMap<>();

  /**
   * Creates a gateway.
   *
   * @param limits the limits
   * @param services finds the declared services
   * @param partitions finds the owners of partitions and the hosts with the tables of tickets
   */
  public BookingGateway(
      BookingLimits limits, ServiceDirectory services, PartitionDirectory partitions) {
    this.limits = limits;
    this.services = services;
    this.partitions = partitions;
  }

  /**
   * Accepts a caller's booking and forwards it.
   *
   * @param request the caller's request
   * @param key the key
   * @param call the HTTP request to send to the service
   * @param nowMillis the monotonic time in milliseconds
   * @return the commands to execute
   */
  public List<BookingCommand> book(
      RequestId request, BookingKey key, BookingCall call, long nowMillis) {
    PendingBooking booking =
        new PendingBooking(request, key, call, nowMillis + limits.callTimeoutMillis());
    pending.put(request, booking);
    List<BookingCommand> commands = new ArrayList<>();
    forward(booking, nowMillis, commands);
    return commands;
  }

  /**
   * Returns the number of bookings whose outcome has not been reported yet.
   *
   * @return the number of bookings
   */
  public int pendingCount() {
    return pending.size();
  }

  /**
   * Handles a message from a partition owner.
   *
   * @param from the host that sent it
   * @param message the message; messages that are not addressed to a gateway are ignored
   * @param nowMillis the monotonic time in milliseconds
   * @return the commands to execute
   */
  public List<BookingCommand> onMessage(HostId from, PeerMessage message, long nowMillis) {
    List<BookingCommand> commands = new ArrayList<>();
    if (message instanceof BookingReply reply) {
      find(reply.request()).ifPresent(booking -> onReply(booking, reply, commands));
    } else if (message instanceof BookingChallenge challenge) {
      find(challenge.request())
          .ifPresent(booking -> onChallenge(from, booking, challenge, nowMillis, commands));
    } else if (message instanceof BookingRedirect redirect) {
      find(redirect.request())
          .ifPresent(booking -> onRedirect(from, booking, redirect, nowMillis, commands));
    }
    return commands;
  }

  private Optional<PendingBooking> find(RequestId request) {
    return Optional.ofNullable(pending.get(request));
  }

  private void onReply(PendingBooking booking, BookingReply reply, List<BookingCommand> commands) {
    boolean refused = reply.outcome().state() == BookingState.NOT_RUN;
    boolean mismatched = reply.outcome().reason() == BookingReason.CALL_MISMATCH;
    if (refused && !mismatched && reply.refusalCount() <= booking.refusalCount) {
      // A later forward, which may still run the call, was sent after this refusal.
      return;
    }
    pending.remove(booking.request);
    commands.add(new BookingCommand.CompleteCall(booking.request, reply.outcome()));
  }

  private void onChallenge(
      HostId from,
      PendingBooking booking,
      BookingChallenge challenge,
      long nowMillis,
      List<BookingCommand> commands) {
    if (booking.deadlineAtMillis <= nowMillis) {
      return;
    }
    booking.refusalCount = challenge.refusalCount();
    send(from, booking, nowMillis, commands);
  }

  private void onRedirect(
      HostId from,
      PendingBooking booking,
      BookingRedirect redirect,
      long nowMillis,
      List<BookingCommand> commands) {
    booking.redirectingHosts.add(from);
    booking.successor = redirect.successor();
    if (booking.ticket.isPresent() && redirect.successor().isEmpty()) {
      List<HostId> candidates = partitions.tableHosts(booking.ticket.get().issuer().host());
      if (booking.redirectingHosts.containsAll(candidates)) {
        pending.remove(booking.request);
        commands.add(
            new BookingCommand.CompleteCall(
                booking.request, BookingOutcome.unknown(BookingReason.HOME_LOST)));
        return;
      }
      forward(booking, nowMillis, commands);
    }
  }

  /**
   * Removes a booking whose caller has disconnected. The call continues at the partition owner.
   *
   * @param request the caller's request
   */
  public void onCallerDisconnected(RequestId request) {
    pending.remove(request);
  }

  /**
   * Repeats forwards that have received no reply, and cancels bookings whose deadline has passed.
   *
   * @param nowMillis the monotonic time in milliseconds
   * @return the commands to execute
   */
  public List<BookingCommand> tick(long nowMillis) {
    List<BookingCommand> commands = new ArrayList<>();
    for (PendingBooking booking : List.copyOf(pending.values())) {
      if (booking.deadlineAtMillis <= nowMillis) {
        pending.remove(booking.request);
        BookingOutcome outcome =
            BookingOutcome.temporarilyUnknown(
                BookingReason.HOME_UNREACHABLE, limits.serviceTimeoutMillis());
        commands.add(new BookingCommand.CompleteCall(booking.request, outcome));
      } else if (booking.resendAtMillis <= nowMillis) {
        forward(booking, nowMillis, commands);
      }
    }
    return commands;
  }

  private void forward(PendingBooking booking, long nowMillis, List<BookingCommand> commands) {
    Optional<HostId> target = booking.successor.or(() -> selectTarget(booking));
    booking.successor = Optional.empty();
    if (target.isPresent()) {
      send(target.get(), booking, nowMillis, commands);
    } else {
      booking.resendAtMillis = nowMillis + limits.resendDelayMillis();
    }
  }

  private Optional<HostId> selectTarget(PendingBooking booking) {
    if (booking.ticket.isPresent()) {
      List<HostId> candidates = partitions.tableHosts(booking.ticket.get().issuer().host());
      List<HostId> untried =
          candidates.stream().filter(host -> !booking.redirectingHosts.contains(host)).toList();
      List<HostId> targets = untried.isEmpty() ? candidates : untried;
      return targets.isEmpty()
          ? Optional.empty()
          : Optional.of(targets.get(booking.sendCount % targets.size()));
    }
    Optional<Service> service = services.service(booking.key.service());
    return service.flatMap(
        declared -> partitions.findOwner(BookingPartition.of(declared.homeZone(), booking.key)));
  }

  private void send(
      HostId target, PendingBooking booking, long nowMillis, List<BookingCommand> commands) {
    int doublings = Math.min(booking.sendCount, MAXIMUM_BACKOFF_DOUBLINGS);
    booking.sendCount++;
    booking.resendAtMillis = nowMillis + (limits.resendDelayMillis() << doublings);
    commands.add(
        new BookingCommand.SendMessage(
            target,
            new BookingForward(booking.request, booking.key, booking.call, booking.refusalCount)));
  }

  /** A booking whose outcome has not been reported yet. */
  private static final class PendingBooking {

    private final RequestId request;
    private final BookingKey key;
    private final BookingCall call;
    private final Optional<BookingTicket> ticket;
    private final long deadlineAtMillis;
    private final Set<HostId> redirectingHosts = new HashSet<>();
    private Optional<HostId> successor = Optional.empty();
    private long resendAtMillis;
    private int sendCount;
    private int refusalCount;

    private PendingBooking(
        RequestId request, BookingKey key, BookingCall call, long deadlineAtMillis) {
      this.request = request;
      this.key = key;
      this.call = call;
      this.deadlineAtMillis = deadlineAtMillis;
      ticket = BookingTicket.parse(key.value());
    }
  }
}
