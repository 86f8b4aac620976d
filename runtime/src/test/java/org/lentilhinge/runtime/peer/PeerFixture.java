package org.lentilhinge.runtime.peer;

import static org.testng.Assert.assertTrue;
import static org.testng.Assert.fail;

import com.codahale.metrics.MetricRegistry;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.identity.HostIncarnation;
import org.lentilhinge.identity.ZoneId;

/** A set of peer networks on loopback ports whose timers run on virtual time. */
final class PeerFixture {

  static final byte[] SECRET = {1, 2, 3, 4};
  static final ZoneId ZONE = new ZoneId("north");

  /** The timeout for events on the loopback interface; no assertion depends on its value. */
  private static final long TIMEOUT_SECONDS = 20;

  private final Vertx vertx = Vertx.vertx();
  private final TestScheduler scheduler = new TestScheduler();
  private final Map<String, Member> members = new HashMap<>();

  Vertx vertx() {
    return vertx;
  }

  Member start(String name) {
    return start(name, SECRET, PeerSettings.DEFAULT_MAXIMUM_QUEUED_FRAMES);
  }

  Member start(String name, byte[] secret, int maximumQueuedFrames) {
    PeerSettings settings =
        new PeerSettings(
            new HostIncarnation(new HostId(name), 1),
            ZONE,
            "127.0.0.1",
            0,
            secret,
            Optional.empty(),
            100_000,
            maximumQueuedFrames,
            PeerTimings.DEFAULT);
    MessageCodec codec = new MessageCodec(new MessageRegistry().register(1, SampleText.class));
    PeerMetrics metrics = new PeerMetrics(new MetricRegistry());
    PeerNetwork network =
        new PeerNetwork(vertx, scheduler, settings, codec, metrics, new Random(3));
    Member member = new Member(network, metrics, settings);
    member.port = await(network.start());
    members.put(name, member);
    return member;
  }

  static PeerAddress address(String name, int port) {
    return new PeerAddress(new HostId(name), true, "127.0.0.1", port);
  }

  /** Passes the addresses of all members to each member. */
  void configureAllPeers() {
    List<PeerAddress> addresses = new ArrayList<>();
    members.forEach((name, member) -> addresses.add(address(name, member.port)));
    members.values().forEach(member -> member.network.updatePeers(addresses));
  }

  void advance(long millis) {
    scheduler.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
  }

  static <T> T await(Future<T> future) {
    try {
      return future
          .toCompletionStage()
          .toCompletableFuture()
          .get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    } catch (Exception exception) {
      throw new AssertionError("future did not complete successfully", exception);
    }
  }

  static void eventually(BooleanSupplier condition, String description) {
    long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
    while (!condition.getAsBoolean()) {
      assertTrue(System.nanoTime() < deadlineNanos, "timed out waiting for " + description);
      Thread.onSpinWait();
    }
  }

  void close() {
    members.values().forEach(member -> await(member.network.close()));
    await(vertx.close());
  }

  /** A network with the messages and link changes that it has emitted. */
  static final class Member {

    final PeerNetwork network;
    final PeerMetrics metrics;
    final PeerSettings settings;
    private final BlockingQueue<ReceivedMessage> messages = new LinkedBlockingQueue<>();
    private final BlockingQueue<LinkChange> changes = new LinkedBlockingQueue<>();
    int port;

    private Member(PeerNetwork network, PeerMetrics metrics, PeerSettings settings) {
      this.network = network;
      this.metrics = metrics;
      this.settings = settings;
      network.messages().subscribe(messages::add);
      network.changes().subscribe(changes::add);
    }

    String nextText() {
      return ((SampleText) poll(messages).message()).text();
    }

    LinkChange nextChange() {
      return poll(changes);
    }

    boolean hasNoMessages() {
      return messages.isEmpty();
    }

    void send(String receiver, String text) {
      network.send(new HostId(receiver), new SampleText(text));
    }

    private static <T> T poll(BlockingQueue<T> queue) {
      try {
        T next = queue.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        if (next == null) {
          fail("no event within the timeout");
        }
        return next;
      } catch (InterruptedException exception) {
        Thread.currentThread().interrupt();
        throw new AssertionError(exception);
      }
    }
  }
}
