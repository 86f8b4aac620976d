package org.lentilhinge.host;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;
import org.lentilhinge.configuration.Configuration;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.identity.HostIncarnation;
import org.lentilhinge.identity.ZoneId;
import org.lentilhinge.membership.ListedHost;

/** An entry host that can crash, restart, and be paused between a decision and its execution. */
final class VirtualHost {

  private static final long TICK_MILLIS = 200;

  private final ListedHost listing;
  private final VirtualTime time;
  private final java.util.random.RandomGenerator random;
  private final Consumer<VirtualHost> startListener;
  private final Deque<Runnable> pendingActions = new ArrayDeque<>();
  private EntryHost host;
  private HostIncarnation incarnation;
  private long incarnationNumber;
  private long clockOffsetMillis;
  private boolean paused;
  private long runningSinceMillis;

  VirtualHost(
      ListedHost listing,
      VirtualTime time,
      java.util.random.RandomGenerator random,
      Consumer<VirtualHost> startListener) {
    this.listing = listing;
    this.time = time;
    this.random = random;
    this.startListener = startListener;
  }

  HostId id() {
    return listing.host();
  }

  ZoneId zone() {
    return listing.zone();
  }

  boolean isUp() {
    return host != null;
  }

  boolean isRunning() {
    return host != null && !paused;
  }

  /** Returns the virtual time since which the process has run without a pause. */
  long runningSinceMillis() {
    return runningSinceMillis;
  }

  HostIncarnation incarnation() {
    return incarnation;
  }

  EntryHost host() {
    return host;
  }

  long nowMillis() {
    return time.nowMillis() + clockOffsetMillis;
  }

  List<HostCommand> handle(HostEvent event) {
    return host.handle(event, nowMillis(), nowMillis());
  }

  void start(List<ListedHost> seeds, Consumer<List<HostCommand>> commands) {
    incarnationNumber++;
    incarnation = new HostIncarnation(id(), incarnationNumber);
    clockOffsetMillis = random.nextLong(1_000_000);
    host =
        new EntryHost(incarnation, zone(), seeds, HostParameters.defaults(), random, nowMillis());
    paused = false;
    pendingActions.clear();
    startListener.accept(this);
    commands.accept(handle(new HostEvent.HostsListed(seeds)));
    tick(incarnation, commands);
  }

  void crash() {
    host = null;
    pendingActions.clear();
  }

  void pause(long millis) {
    paused = true;
    HostIncarnation startedIncarnation = incarnation;
    time.after(
        millis,
        () -> {
          if (isUp() && startedIncarnation.equals(incarnation)) {
            paused = false;
            runningSinceMillis = time.nowMillis();
            while (!pendingActions.isEmpty() && isRunning()) {
              pendingActions.removeFirst().run();
            }
          }
        });
  }

  /** Runs an action as soon as the process is running; a crash discards the pending actions. */
  void runWhenRunning(Runnable action) {
    HostIncarnation startedIncarnation = incarnation;
    if (!isUp()) {
      return;
    }
    if (paused) {
      pendingActions.addLast(
          () -> {
            if (startedIncarnation.equals(incarnation)) {
              action.run();
            }
          });
    } else {
      action.run();
    }
  }

  void configure(Configuration configuration, Consumer<List<HostCommand>> commands) {
    runWhenRunning(() -> commands.accept(handle(new HostEvent.Configured(configuration))));
  }

  private void tick(HostIncarnation startedIncarnation, Consumer<List<HostCommand>> commands) {
    time.after(
        TICK_MILLIS,
        () -> {
          if (!isUp() || !startedIncarnation.equals(incarnation)) {
            return;
          }
          if (!paused) {
            commands.accept(handle(new HostEvent.Tick()));
          }
          tick(startedIncarnation, commands);
        });
  }
}
