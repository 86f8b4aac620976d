package org.lentilhinge.booking;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.lentilhinge.attempt.RetryBudget;
import org.lentilhinge.identity.AttemptId;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.identity.HostIncarnation;
import org.lentilhinge.identity.RequestId;
import org.lentilhinge.message.PeerMessage;

/** One incarnation of an entry host: a partition owner and a gateway with their own clock. */
final class WorldNode implements HomeAuthority, HomeDirectory {

  private final BookingWorld world;
  private final HostIncarnation incarnation;
  private final long clockOffsetMillis;
  private final BookingHome home;
  private final BookingGateway gateway;
  private final List<Runnable> held = new ArrayList<>();
  private boolean paused;
  private boolean dead;
  private long sequence;

  WorldNode(BookingWorld world, HostIncarnation incarnation, long clockOffsetMillis) {
    this.world = world;
    this.incarnation = incarnation;
    this.clockOffsetMillis = clockOffsetMillis;
    home =
        new BookingHome(
            incarnation,
            BookingWorld.ZONE,
            BookingWorld.LIMITS,
            this,
            world::service,
            new RetryBudget(0.1, 10),
            () -> new AttemptId(nextRequest(), 1));
    gateway = new BookingGateway(BookingWorld.LIMITS, world::service, this);
  }

  HostId host() {
    return incarnation.host();
  }

  HostIncarnation incarnation() {
    return incarnation;
  }

  boolean isDead() {
    return dead;
  }

  boolean isPaused() {
    return paused;
  }

  int waiting() {
    return gateway.waiting();
  }

  long now() {
    return world.now() + clockOffsetMillis;
  }

  RequestId nextRequest() {
    return new RequestId(incarnation, sequence++);
  }

  String ticket() {
    return home.issueTicket(now()).toString();
  }

  void book(RequestId request, BookingKey key, BookingCall call) {
    perform(() -> carryOut(gateway.book(request, key, call, now())));
  }

  void receive(HostId from, PeerMessage message) {
    perform(
        () -> {
          carryOut(home.receive(from, message, now()));
          carryOut(gateway.receive(from, message, now()));
        });
  }

  void attemptEnded(AttemptId attempt, ServiceResult result) {
    perform(() -> carryOut(home.attemptEnded(attempt, result, now())));
  }

  void leave(HostId successor) {
    perform(
        () ->
            carryOut(
                home.leave(successor, partition -> world.nextHome(partition, host()), 500, now())));
  }

  void tick() {
    if (!paused && !dead) {
      carryOut(home.tick(now()));
      carryOut(gateway.tick(now()));
    }
  }

  /** Runs an action now, on resumption if the host is paused, or never if the host has crashed. */
  void perform(Runnable action) {
    if (dead) {
      return;
    }
    if (paused) {
      held.add(action);
    } else {
      action.run();
    }
  }

  void pause() {
    paused = true;
  }

  void wake() {
    paused = false;
    List<Runnable> actions = List.copyOf(held);
    held.clear();
    actions.forEach(Runnable::run);
  }

  void die() {
    dead = true;
  }

  boolean mayStart(AttemptId attempt) {
    return home.mayStart(attempt, now());
  }

  private void carryOut(List<BookingCommand> commands) {
    for (BookingCommand command : commands) {
      if (command instanceof BookingCommand.SendMessage send) {
        world.send(host(), send.receiver(), send.message());
      } else if (command instanceof BookingCommand.CallService call) {
        world.callService(this, call);
      } else if (command instanceof BookingCommand.TellCaller completion) {
        world.told(completion.request(), completion.outcome());
      } else if (command instanceof BookingCommand.HandOverEnded) {
        world.handedOver(this);
      }
    }
  }

  @Override
  public boolean mayRun(BookingPartition partition, long nowMillis) {
    return world.lease().holds(host(), partition, nowMillis - clockOffsetMillis);
  }

  @Override
  public OptionalLong since(BookingPartition partition) {
    Optional<Long> since = world.lease().since(host(), partition);
    return since.isPresent()
        ? OptionalLong.of(since.get() + clockOffsetMillis)
        : OptionalLong.empty();
  }

  @Override
  public Optional<HostId> homeOf(BookingPartition partition) {
    return world.guessHome(partition);
  }

  @Override
  public List<HostId> holdersOf(HostId issuer) {
    List<HostId> hosts = new ArrayList<>();
    hosts.add(issuer);
    BookingWorld.HOSTS.stream().filter(host -> !host.equals(issuer)).forEach(hosts::add);
    return hosts;
  }
}
