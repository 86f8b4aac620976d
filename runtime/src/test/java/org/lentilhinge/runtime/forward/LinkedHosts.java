package org.lentilhinge.runtime.forward;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.rxjava3.ContextScheduler;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.lentilhinge.fleet.EndpointState;
import org.lentilhinge.fleet.FleetEndpoint;
import org.lentilhinge.forward.ForwardConfiguration;
import org.lentilhinge.forward.ForwardLimits;
import org.lentilhinge.forward.ForwardRoute;
import org.lentilhinge.forward.ForwardService;
import org.lentilhinge.forward.RequestKind;
import org.lentilhinge.forward.ServiceShare;
import org.lentilhinge.identity.DeclaredVersion;
import org.lentilhinge.identity.StoreRevision;
import org.lentilhinge.published.DeclaredState;
import org.lentilhinge.published.EndpointListing;

/** Whole hosts on loopback addresses, each with gates of its own to the endpoints. */
final class LinkedHosts implements AutoCloseable {

  private static final int SOCKET_TIMEOUT_MILLIS = 10_000;
  private static final StoreRevision REVISION = new StoreRevision(0, 1);

  private final Vertx vertx;
  private final List<String> endpointAddresses;
  private final int peerPort;
  private final Map<Integer, List<EndpointGate>> gates = new HashMap<>();
  private final List<ForwardHost> hosts = new ArrayList<>();
  private final List<String> callerAddresses = new ArrayList<>();

  /**
   * Starts hosts.
   *
   * @param zones the availability zone of each host
   * @param endpointAddresses the addresses of the endpoints, in turn of the services s and t
   */
  LinkedHosts(Vertx vertx, List<String> zones, List<String> endpointAddresses) {
    this.vertx = vertx;
    this.endpointAddresses = endpointAddresses;
    peerPort = freePort("127.0.1.1");
    for (int index = 0; index < zones.size(); index++) {
      hosts.add(startHost(index, zones.get(index)));
    }
  }

  private static int freePort(String host) {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host))) {
      return socket.getLocalPort();
    } catch (IOException exception) {
      throw new IllegalStateException(exception);
    }
  }

  private static String host(int index) {
    return "127.0.1." + (index + 1);
  }

  private ForwardHost startHost(int index, String zone) {
    List<EndpointGate> ownGates = endpointAddresses.stream().map(EndpointGate::new).toList();
    gates.put(index, ownGates);
    String callerAddress = host(index) + ':' + freePort(host(index));
    callerAddresses.add(callerAddress);
    ForwardSettings settings =
        new ForwardSettings(
            host(index),
            zone,
            "north",
            Map.of("a", "north", "b", "north"),
            callerAddress,
            host(index) + ":0",
            "/ready",
            host(index) + ':' + peerPort,
            "secret",
            List.of(host(0) + ':' + peerPort, host(1) + ':' + peerPort),
            "127.0.0.1:1",
            0,
            new ForwardSettings.Bounds(8_000, 3_000, 4, 100, 10_000),
            Optional.empty());
    CompletableFuture<ForwardHost> started = new CompletableFuture<>();
    Context loop = vertx.getOrCreateContext();
    loop.runOnContext(unused -> start(loop, settings, ownGates, started));
    return started.join();
  }

  private void start(
      Context loop,
      ForwardSettings settings,
      List<EndpointGate> ownGates,
      CompletableFuture<ForwardHost> started) {
    ForwardHost host =
        new ForwardHost(
            vertx,
            loop,
            new ContextScheduler(loop, false),
            settings,
            new Platform(ownGates),
            new EventLog(new PrintStream(PrintStream.nullOutputStream()), () -> 0),
            new MetricRegistry(),
            new ForwardHost.Clocks(
                () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()), System::currentTimeMillis),
            new Random(settings.host().hashCode()));
    host.start()
        .onSuccess(unused -> started.complete(host))
        .onFailure(started::completeExceptionally);
  }

  /** Returns the paths of a host to the endpoints. */
  List<EndpointGate> gates(int index) {
    return gates.get(index);
  }

  /** Sends a request to a host on a new connection; returns all bytes until the host closes it. */
  String send(int index, String request) throws IOException {
    String address = callerAddresses.get(index);
    int colon = address.indexOf(':');
    try (Socket socket =
        new Socket(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)))) {
      socket.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
      socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    }
  }

  private static ForwardConfiguration configuration() {
    List<ForwardRoute> routes =
        List.of(
            route("/safe/", RequestKind.SAFE, "s", false),
            route("/unsafe/", RequestKind.UNSAFE, "s", false),
            route("/stream/", RequestKind.STREAM, "t", false),
            route("/resumable/", RequestKind.STREAM, "t", true));
    return new ForwardConfiguration(
        new DeclaredVersion(1, REVISION),
        routes,
        Map.of(
            "s", new ForwardService("s", 100, Optional.empty()),
            "t", new ForwardService("t", 100, Optional.empty())),
        new ForwardLimits(8_192, 100_000, 3_000, 15_000));
  }

  private static ForwardRoute route(
      String prefix, RequestKind kind, String service, boolean resumable) {
    List<ServiceShare> shares = List.of(new ServiceShare(service, 1));
    return new ForwardRoute(prefix, "h", prefix, kind, 2_000, 500, 0, shares, 2, resumable, false);
  }

  @Override
  public void close() {
    hosts.forEach(ForwardHost::stop);
    gates.values().forEach(own -> own.forEach(EndpointGate::close));
  }

  /** A platform with a store that lists the gates of one host as the endpoints. */
  private final class Platform implements ForwardPlatform, PublishedStore {
    private final List<EndpointGate> ownGates;

    private Platform(List<EndpointGate> ownGates) {
      this.ownGates = ownGates;
    }

    @Override
    public HeaderTranslator headerTranslator() {
      return new PlainHeaderTranslator();
    }

    @Override
    public PublishedStore store(
        ControlHttpClient client, String address, Consumer<String> rejectionListener) {
      return this;
    }

    @Override
    public EngineControl control(
        ControlHttpClient orderClient,
        ControlHttpClient reportClient,
        Consumer<FleetEndpoint> departureListener) {
      return new NoEngineControl();
    }

    @Override
    public Future<EndpointListing> listEndpoints() {
      List<FleetEndpoint> endpoints = new ArrayList<>();
      for (int index = 0; index < ownGates.size(); index++) {
        endpoints.add(
            new FleetEndpoint(
                "e" + index,
                1,
                index % 2 == 0 ? "s" : "t",
                ownGates.get(index).address(),
                "a",
                EndpointState.READY,
                0,
                REVISION,
                List.of(),
                "v1",
                6));
      }
      return Future.succeededFuture(new EndpointListing(endpoints, REVISION));
    }

    @Override
    public Future<DeclaredState> readDeclaredState() {
      return Future.succeededFuture(
          new DeclaredState(Optional.of(configuration()), List.of(), REVISION));
    }

    @Override
    public Future<DeclaredState> awaitDeclaredState(StoreRevision revision, long waitMillis) {
      Promise<DeclaredState> promise = Promise.promise();
      vertx.setTimer(
          waitMillis,
          id -> promise.complete(new DeclaredState(Optional.empty(), List.of(), revision)));
      return promise.future();
    }
  }
}
