package org.lentilhinge.runtime.platform;

import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.disposables.Disposable;
import io.reactivex.rxjava3.disposables.SerialDisposable;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;
import org.lentilhinge.follow.ConfigurationFollower;
import org.lentilhinge.follow.FollowCommand;
import org.lentilhinge.follow.FollowEvent;
import org.lentilhinge.follow.FollowStatus;
import org.lentilhinge.follow.PartDigest;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.message.PeerMessage;

/**
 * Executes the commands of a {@link ConfigurationFollower} and passes events to it. All work runs
 * sequentially on one worker of the scheduler; the methods may be called from any thread.
 */
public final class FollowDriver {

  private static final String PARTS_PATH = "/parts/";

  private final ConfigurationFollower follower;
  private final ConfigurationService service;
  private final String key;
  private final BiConsumer<HostId, PeerMessage> peerSender;
  private final FollowListener listener;
  private final Scheduler.Worker worker;
  private final LongSupplier monotonicMillis;
  private final SerialDisposable watch = new SerialDisposable();
  private volatile FollowStatus status;

  /**
   * Creates a driver that is not yet started; see {@link #start()}.
   *
   * @param follower the state machine to drive
   * @param service the configuration service of the platform
   * @param key the key under which the configuration is published
   * @param peerSender sends a message to a peer, or drops the message if the peer is unreachable
   * @param listener receives the decisions, on the thread of the worker
   * @param scheduler runs the work; validating a large configuration can block its worker for a
   *     while
   * @param monotonicMillis the monotonic clock, in milliseconds
   */
  public FollowDriver(
      ConfigurationFollower follower,
      ConfigurationService service,
      String key,
      BiConsumer<HostId, PeerMessage> peerSender,
      FollowListener listener,
      Scheduler scheduler,
      LongSupplier monotonicMillis) {
    this.follower = follower;
    this.service = service;
    this.key = key;
    this.peerSender = peerSender;
    this.listener = listener;
    this.worker = scheduler.createWorker();
    this.monotonicMillis = monotonicMillis;
    this.status = follower.status();
  }

  /** Starts following the published configuration. */
  public void start() {
    Disposable unused =
        worker.schedulePeriodically(
            () -> handle(new FollowEvent.TimerElapsed()),
            0,
            ConfigurationFollower.TICK_MILLIS,
            TimeUnit.MILLISECONDS);
  }

  /** Stops following the published configuration. The applied configuration stays in effect. */
  public void stop() {
    worker.dispose();
    watch.dispose();
  }

  /**
   * Returns the latest status.
   *
   * @return the status after the last event
   */
  public FollowStatus status() {
    return status;
  }

  /**
   * Updates the sets of live entry hosts.
   *
   * @param zonePeers the other live hosts in the own zone
   * @param zoneSize the number of listed hosts in the own zone, including this host
   * @param outsidePeers the live hosts in other zones
   */
  public void updatePeers(Set<HostId> zonePeers, int zoneSize, Set<HostId> outsidePeers) {
    enqueue(new FollowEvent.PeersChanged(zonePeers, zoneSize, outsidePeers));
  }

  /**
   * Handles a message from a peer.
   *
   * @param peer the peer
   * @param message the message
   */
  public void receive(HostId peer, PeerMessage message) {
    enqueue(new FollowEvent.PeerMessageReceived(peer, message));
  }

  private void enqueue(FollowEvent event) {
    Disposable unused = worker.schedule(() -> handle(event));
  }

  private void handle(FollowEvent event) {
    follower.handle(event, monotonicMillis.getAsLong()).forEach(this::execute);
    status = follower.status();
  }

  private void execute(FollowCommand command) {
    if (command instanceof FollowCommand.Watch watchCommand) {
      watch(watchCommand);
    } else if (command instanceof FollowCommand.StopWatch) {
      watch.set(Disposable.empty());
    } else if (command instanceof FollowCommand.ReadPart read) {
      read(read.digest());
    } else if (command instanceof FollowCommand.Send send) {
      peerSender.accept(send.peer(), send.message());
    } else if (command instanceof FollowCommand.Apply apply) {
      listener.onApplied(apply.version(), apply.configuration(), apply.findings());
    } else if (command instanceof FollowCommand.Reject reject) {
      listener.onRejected(reject.version(), reject.findings());
    }
  }

  private void watch(FollowCommand.Watch watchCommand) {
    watch.set(
        service
            .watch(key, watchCommand.afterRevision(), watchCommand.waitMillis())
            .subscribe(
                value -> enqueue(new FollowEvent.WatchAnswered(value.text(), value.revision())),
                failure -> enqueue(new FollowEvent.WatchFailed(failure.getMessage())),
                () -> enqueue(new FollowEvent.WatchUnchanged())));
  }

  private void read(PartDigest digest) {
    Disposable unused =
        service
            .read(key + PARTS_PATH + digest.value())
            .subscribe(
                value -> enqueue(new FollowEvent.PartRead(digest, value.text())),
                failure -> enqueue(new FollowEvent.PartReadFailed(digest, failure.getMessage())),
                () -> enqueue(new FollowEvent.PartReadFailed(digest, "part not found")));
  }
}
