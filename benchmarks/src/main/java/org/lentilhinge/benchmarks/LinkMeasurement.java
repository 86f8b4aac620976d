package org.lentilhinge.benchmarks;

import com.codahale.metrics.MetricRegistry;
import io.reactivex.rxjava3.schedulers.Schedulers;
import io.vertx.core.Vertx;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.identity.HostIncarnation;
import org.lentilhinge.identity.ZoneId;
import org.lentilhinge.runtime.host.HostMessages;
import org.lentilhinge.runtime.peer.MessageCodec;
import org.lentilhinge.runtime.peer.PeerAddress;
import org.lentilhinge.runtime.peer.PeerMetrics;
import org.lentilhinge.runtime.peer.PeerNetwork;
import org.lentilhinge.runtime.peer.PeerSettings;
import org.lentilhinge.runtime.peer.PeerTimings;

/**
 * Measures the heap usage of the links in a full mesh of hosts, in one process on loopback ports.
 */
public final class LinkMeasurement {

  private static final ZoneId ZONE = new ZoneId("zone-1");
  private static final long CONNECT_TIMEOUT_SECONDS = 30;

  private LinkMeasurement() {}

  /**
   * Prints the heap usage per link for three sizes of the mesh.
   *
   * @param arguments ignored
   */
  public static void main(String[] arguments) {
    for (int hosts : new int[] {3, 10, 22}) {
      measure(hosts);
    }
    System.exit(0);
  }

  private static void measure(int hosts) {
    Vertx vertx = Vertx.vertx();
    long before = usedHeap();
    PeerMetrics metrics = new PeerMetrics(new MetricRegistry());
    List<PeerNetwork> networks = new ArrayList<>();
    List<PeerAddress> addresses = new ArrayList<>();
    for (int number = 0; number < hosts; number++) {
      HostId host = new HostId("entry-" + number);
      PeerNetwork network = network(vertx, host, metrics);
      int port = network.start().toCompletionStage().toCompletableFuture().join();
      addresses.add(new PeerAddress(host, true, "127.0.0.1", port));
      networks.add(network);
    }
    long idle = usedHeap();
    networks.forEach(network -> network.updatePeers(addresses));
    int links = hosts * (hosts - 1);
    long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(CONNECT_TIMEOUT_SECONDS);
    while (metrics.linksUp() < links && System.nanoTime() < endNanos) {
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(50));
    }
    long linked = usedHeap();
    System.out.printf(
        Locale.ROOT,
        "%d hosts, %d of %d links up: %d bytes per link, both ends, %d bytes per host without%n",
        hosts,
        metrics.linksUp(),
        links,
        (linked - idle) / links,
        (idle - before) / hosts);
    networks.forEach(network -> network.close().toCompletionStage().toCompletableFuture().join());
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  private static PeerNetwork network(Vertx vertx, HostId host, PeerMetrics metrics) {
    PeerSettings settings =
        new PeerSettings(
            new HostIncarnation(host, 1),
            ZONE,
            "127.0.0.1",
            0,
            "a-secret-to-measure-with".getBytes(StandardCharsets.UTF_8),
            Optional.empty(),
            PeerSettings.DEFAULT_MAXIMUM_FRAME_BYTES,
            PeerSettings.DEFAULT_MAXIMUM_QUEUED_FRAMES,
            PeerTimings.DEFAULT);
    return new PeerNetwork(
        vertx,
        Schedulers.computation(),
        settings,
        new MessageCodec(HostMessages.registry()),
        metrics,
        new Random(1));
  }

  private static long usedHeap() {
    System.gc();
    System.gc();
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }
}
