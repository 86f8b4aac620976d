package org.lentilhinge.runtime.forward;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.lentilhinge.customer.Customer;
import org.lentilhinge.customer.DeclaredCustomers;
import org.lentilhinge.fleet.EndpointDepartureNews;
import org.lentilhinge.fleet.EndpointDepartures;
import org.lentilhinge.fleet.EndpointState;
import org.lentilhinge.fleet.FleetEndpoint;
import org.lentilhinge.fleet.VersionHistory;
import org.lentilhinge.forward.ForwardConfiguration;
import org.lentilhinge.forward.ForwardLimits;
import org.lentilhinge.forward.ForwardRoute;
import org.lentilhinge.forward.ForwardService;
import org.lentilhinge.forward.RequestKind;
import org.lentilhinge.forward.ServiceShare;
import org.lentilhinge.identity.DeclaredVersion;
import org.lentilhinge.identity.StoreRevision;
import org.lentilhinge.message.PeerMessage;
import org.lentilhinge.overlay.HostOverlay;
import org.lentilhinge.overlay.HostRecord;
import org.lentilhinge.overlay.RelaySelector;
import org.lentilhinge.path.PathMonitor;
import org.lentilhinge.permit.PermitAnswer;
import org.lentilhinge.permit.PermitRequest;
import org.lentilhinge.permit.PermitReturn;
import org.lentilhinge.quarantine.RequestQuarantine;
import org.lentilhinge.resume.StreamOriginExchange;
import org.lentilhinge.runtime.memory.MemoryBounds;

/** A server for callers and a forwarder on real sockets, with scripted endpoints. */
final class ForwardFixture implements AutoCloseable {

  private static final int SOCKET_TIMEOUT_MILLIS = 10_000;

  /** The bytes of responses that the host may hold. */
  static final long MAXIMUM_HELD_BYTES = 8_388_608;

  private static final int NARROW_BUFFER_BYTES = 65_536;
  private static final long TICK_MILLIS = 20;

  private final Vertx vertx;
  private final Context loop;
  private final CallerServer callerServer;
  private final int port;
  private final HostContext context;
  private final HostState state;
  private final PermitClient permits;
  private final EndpointLimitRunner limits;
  private final EndpointDepartureRunner departures;
  private final QuarantineRunner quarantine;
  private final Forwarder forwarder;
  private final HostMemory memory;
  private final AtomicLong advancedMillis = new AtomicLong();
  private volatile Runnable beforePermitAnswer = () -> {};
  private volatile Optional<Runnable> afterNextRequest = Optional.empty();

  /** Bounds that only a test of them reaches. */
  static final MemoryBounds BOUNDS =
      new MemoryBounds(MAXIMUM_HELD_BYTES, 4_194_304, 1_048_576, 4_194_304, 524_288);

  ForwardFixture(Vertx vertx, List<String> endpoints) {
    this(vertx, endpoints, BOUNDS);
  }

  /** Starts a host with bounds of the bytes that it holds. */
  ForwardFixture(Vertx vertx, List<String> endpoints, MemoryBounds bounds) {
    this(vertx, bounds);
    readStore(endpoints);
  }

  /** Starts a host without a configuration and endpoints. */
  ForwardFixture(Vertx vertx) {
    this(vertx, BOUNDS);
  }

  private ForwardFixture(Vertx vertx, MemoryBounds bounds) {
    this.vertx = vertx;
    context =
        new HostContext(
            vertx,
            settings(),
            () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()) + advancedMillis.get(),
            new EventLog(new PrintStream(PrintStream.nullOutputStream()), () -> 0),
            new MetricRegistry());
    memory = new HostMemory(context, new PlainHeaderTranslator(), bounds);
    state = new HostState(context, overlay(settings()));
    EndpointPool pool = createPool();
    RelaySelector relays = new RelaySelector(new HostRecord("10.0.0.1", "a", "north", 1, 1, false));
    HostBroadcast broadcast = new HostBroadcast(context, state, relays, (host, message) -> {});
    quarantine =
        new QuarantineRunner(context, state, new RequestQuarantine(new Random(1)), broadcast);
    limits = new EndpointLimitRunner(context, state, broadcast, this::send);
    permits = new PermitClient(this::send, context.clock(), 0);
    StreamOriginExchange streamOrigins =
        new StreamOriginExchange(
            context.host(), List::of, new CurrentVersions(), (host, message) -> {});
    HostRelay relay = new HostRelay(context, state, new Random(1));
    PathRunner paths = createPaths(pool, broadcast, relay);
    departures =
        new EndpointDepartureRunner(
            context, state, new EndpointDepartures(new Random(1)), broadcast);
    forwarder =
        new Forwarder(
            context,
            state,
            new Forwarder.Parts(
                new PlainHeaderTranslator(),
                pool,
                paths,
                relay,
                permits,
                quarantine,
                limits,
                departures,
                streamOrigins,
                memory));
    CompletableFuture<CallerServer> created = new CompletableFuture<>();
    loop = vertx.getOrCreateContext();
    CompletableFuture<Integer> listening = new CompletableFuture<>();
    loop.runOnContext(
        unused -> {
          CallerServer server = createServer();
          created.complete(server);
          server
              .listen()
              .onSuccess(listening::complete)
              .onFailure(listening::completeExceptionally);
        });
    loop.runOnContext(
        unused -> vertx.setPeriodic(TICK_MILLIS, timer -> streamOrigins.tick(context.now())));
    callerServer = created.join();
    port = listening.join();
  }

  private EndpointPool createPool() {
    ResponseMatcher matcher = new NamedResponseMatcher(new PlainHeaderTranslator());
    return new EndpointPool(vertx, 1_000, context.clock(), matcher, address -> {});
  }

  private PathRunner createPaths(EndpointPool pool, HostBroadcast broadcast, HostRelay relay) {
    return new PathRunner(
        context,
        state,
        pool,
        new PathMonitor(new Random(1)),
        (host, message) -> {},
        broadcast,
        relay,
        cutOff -> {});
  }

  /** Delivers a message of this host to itself. */
  private void send(String host, PeerMessage message) {
    if (message instanceof PermitRequest request) {
      loop.runOnContext(unused -> limits.submit(host, request));
    } else if (message instanceof PermitReturn permitReturn) {
      loop.runOnContext(unused -> limits.release(host, permitReturn));
    } else if (message instanceof PermitAnswer answer) {
      loop.runOnContext(
          unused -> {
            beforePermitAnswer.run();
            permits.onAnswer(host, answer);
          });
    }
  }

  /** Runs a task on the event loop before each further answer to a permit request. */
  void beforePermitAnswer(Runnable task) {
    beforePermitAnswer = task;
  }

  /** Receives from another host that an endpoint leaves; must be called on the event loop. */
  void receiveDeparture(String incarnation) {
    departures.receive(new EndpointDepartureNews("10.0.0.2", false, List.of(incarnation)));
  }

  private CallerServer createServer() {
    return new CallerServer(
        vertx,
        "127.0.0.1:0",
        state::forwardLimits,
        context.clock(),
        memory,
        this::accept,
        (status, reason) -> {});
  }

  private void accept(CallerExchange exchange) {
    forwarder.accept(exchange);
    afterNextRequest.ifPresent(Runnable::run);
    afterNextRequest = Optional.empty();
  }

  private void readStore(List<String> addresses) {
    CompletableFuture<Void> done = new CompletableFuture<>();
    loop.runOnContext(
        unused -> {
          completeFirstRead(addresses);
          done.complete(null);
        });
    done.join();
  }

  /** Simulates the first read of the store after the next request has arrived. */
  void readStoreAfterNextRequest(List<String> addresses) {
    afterNextRequest = Optional.of(() -> completeFirstRead(addresses));
  }

  private void completeFirstRead(List<String> addresses) {
    state.applyConfiguration(configuration());
    state
        .endpoints()
        .updateFromListing(endpoints(addresses), new StoreRevision(0, 1), context.now());
    forwarder.releaseBufferedRequests();
  }

  private static List<FleetEndpoint> endpoints(List<String> addresses) {
    List<FleetEndpoint> endpoints = new ArrayList<>();
    for (String address : addresses) {
      // The first endpoint is in the host's zone, so that it is selected first.
      String zone = endpoints.isEmpty() ? "a" : "b";
      endpoints.add(endpoint("e" + endpoints.size(), address, zone, 1));
    }
    return endpoints;
  }

  /** Returns an endpoint of the service. */
  static FleetEndpoint endpoint(String id, String address, String zone, long revision) {
    return endpoint(id, address, zone, revision, "v1");
  }

  /** Returns an endpoint of the service that runs a version of the software. */
  static FleetEndpoint endpoint(
      String id, String address, String zone, long revision, String softwareVersion) {
    return new FleetEndpoint(
        id,
        1,
        "s",
        address,
        zone,
        EndpointState.READY,
        0,
        new StoreRevision(0, revision),
        List.of(),
        softwareVersion,
        6);
  }

  /** Updates the host's endpoints from a complete listing of the store. */
  void list(List<FleetEndpoint> listing, long revision) {
    CompletableFuture<Void> done = new CompletableFuture<>();
    loop.runOnContext(
        unused -> {
          state
              .endpoints()
              .updateFromListing(listing, new StoreRevision(0, revision), context.now());
          quarantine.tick();
          done.complete(null);
        });
    done.join();
  }

  /** Returns the membership of a host that knows only its seeds. */
  static HostOverlay overlay(ForwardSettings settings) {
    HostRecord self =
        new HostRecord(settings.host(), settings.zone(), settings.region(), 1, 1, false);
    List<String> seeds = settings.seeds().stream().map(HostNames::ofAddress).toList();
    return new HostOverlay(self, seeds, new Random(1));
  }

  /** Returns the settings of a host on the loopback interface. */
  static ForwardSettings settings() {
    return new ForwardSettings(
        "10.0.0.1",
        "a",
        "north",
        Map.of("a", "north", "b", "north"),
        "127.0.0.1:0",
        "127.0.0.1:0",
        "/ready",
        "10.0.0.1:1",
        "secret",
        List.of(),
        "127.0.0.1:1",
        0,
        // Each request adds at least one retry to the budget.
        new ForwardSettings.Bounds(8_000, 3_000, 4, 100, 10_000),
        Optional.empty());
  }

  /** Applies a configuration with the same routes that declares customers. */
  void declareCustomers(List<Customer> customers, long version) {
    apply(version, configuration().limits(), new DeclaredCustomers(true, customers));
  }

  /** Applies a configuration with the same routes and other limits of callers. */
  void changeLimits(ForwardLimits limits, long version) {
    apply(version, limits, DeclaredCustomers.NONE);
    closeExpiredConnections();
  }

  private void apply(long version, ForwardLimits limits, DeclaredCustomers customers) {
    ForwardConfiguration former = configuration();
    DeclaredVersion declared = new DeclaredVersion(version, new StoreRevision(0, version));
    ForwardConfiguration next =
        new ForwardConfiguration(declared, former.routes(), former.services(), limits, customers);
    onLoop(() -> state.applyConfiguration(next));
  }

  private static ForwardConfiguration configuration() {
    List<ForwardRoute> routes =
        List.of(
            route("/safe/", RequestKind.SAFE, false),
            route("/unsafe/", RequestKind.UNSAFE, false),
            route("/stream/", RequestKind.STREAM, false),
            route("/resumable/", RequestKind.STREAM, true),
            publicRoute(),
            longRoute());
    ForwardService service = new ForwardService("s", 100, Optional.empty());
    return new ForwardConfiguration(
        new DeclaredVersion(1, new StoreRevision(0, 1)),
        routes,
        Map.of("s", service),
        new ForwardLimits(8_192, 8_388_608, 3_000, 15_000));
  }

  private static ForwardRoute route(String prefix, RequestKind kind, boolean resumable) {
    List<ServiceShare> shares = List.of(new ServiceShare("s", 1));
    return new ForwardRoute(prefix, "h", prefix, kind, 2_000, 500, 0, shares, 2, resumable, false);
  }

  /** Returns a route of streams that last longer than those of most tests. */
  private static ForwardRoute longRoute() {
    List<ServiceShare> shares = List.of(new ServiceShare("s", 1));
    return new ForwardRoute(
        "long", "h", "/long/", RequestKind.STREAM, 10_000, 500, 0, shares, 2, false, false);
  }

  private static ForwardRoute publicRoute() {
    List<ServiceShare> shares = List.of(new ServiceShare("s", 1));
    return new ForwardRoute(
        "public", "h", "/public/", RequestKind.SAFE, 2_000, 500, 0, shares, 2, false, true);
  }

  /** Opens the connection of a caller. */
  Socket open() throws IOException {
    Socket socket = new Socket("127.0.0.1", port);
    socket.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
    return socket;
  }

  /** Opens the connection of a caller that accepts few bytes before it reads them. */
  Socket openNarrow() throws IOException {
    Socket socket = new Socket();
    socket.setReceiveBufferSize(NARROW_BUFFER_BYTES);
    socket.connect(new InetSocketAddress("127.0.0.1", port));
    socket.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
    return socket;
  }

  /** Sends a request on a new connection; returns all bytes received until the host closes it. */
  String send(String request) throws IOException {
    try (Socket socket = open()) {
      socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    }
  }

  /** Returns the text of a request with an id. */
  static String request(String method, String path, String id, String body) {
    return method
        + " "
        + path
        + " HTTP/1.1\r\nHost: h\r\nX-Id: "
        + id
        + "\r\nX-Deadline: 1500\r\nConnection: close\r\nContent-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  /** Returns the text of a signed response to a request with an id. */
  static String response(String id, String body) {
    return "HTTP/1.1 200 OK\r\nX-Id: "
        + id
        + "\r\nX-Signature: s\r\nContent-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  HostContext context() {
    return context;
  }

  /** Closes the connections of callers that are idle or read nothing, as a host does regularly. */
  void closeExpiredConnections() {
    onLoop(callerServer::closeExpiredConnections);
  }

  /** Returns the number of responses of an endpoint that were given up as too long. */
  long oversizedResponses(String endpoint) {
    String name = MetricRegistry.name(Forwarder.OVERSIZED_RESPONSES, endpoint);
    return context.metrics().counter(name).getCount();
  }

  /** Returns the number of requests that a planned stop would wait for. */
  int requestsInFlight() {
    CompletableFuture<Integer> count = new CompletableFuture<>();
    loop.runOnContext(unused -> count.complete(callerServer.requestsInFlight()));
    return count.join();
  }

  /** Returns the time of the host's clock, which also advances by itself, in milliseconds. */
  long now() {
    return context.now();
  }

  /** Advances the host's clock, without any timer. */
  void advance(long millis) {
    advancedMillis.addAndGet(millis);
  }

  /** Has the host stop as planned; its responses end after a time, in milliseconds. */
  void stopAfter(long millis) {
    onLoop(() -> state.setStopsAt(context.now() + millis));
  }

  /** Ends all requests as at the end of a planned stop. */
  void endAll() {
    onLoop(forwarder::endAll);
  }

  /** Refuses the requests that were not sent, as shortly before the end of a planned stop. */
  void refuseUnsent() {
    onLoop(forwarder::refuseUnsent);
  }

  /** Runs a task on the event loop. */
  void onLoop(Runnable task) {
    CompletableFuture<Void> done = new CompletableFuture<>();
    loop.runOnContext(
        unused -> {
          task.run();
          done.complete(null);
        });
    done.join();
  }

  /** Returns the number of responses that are not complete or not sent yet. */
  int unfinishedResponses() {
    CompletableFuture<Integer> number = new CompletableFuture<>();
    loop.runOnContext(unused -> number.complete(callerServer.unfinishedResponses()));
    return number.join();
  }

  /** Starts a planned stop on the event loop. */
  void stop() {
    onLoop(
        () -> {
          callerServer.stop();
          callerServer.closeIdle(SOCKET_TIMEOUT_MILLIS);
        });
  }

  @Override
  public void close() {
    callerServer.close();
  }

  /** The versions of the registered endpoints, as of a store that is read all the time. */
  private final class CurrentVersions implements VersionHistory {

    @Override
    public Optional<String> onlyVersionSince(String service, long sinceMillis, long nowMillis) {
      return state.endpoints().onlyVersionSince(service, sinceMillis, nowMillis);
    }

    @Override
    public long listedAtMillis() {
      return context.now() + 1;
    }
  }
}
