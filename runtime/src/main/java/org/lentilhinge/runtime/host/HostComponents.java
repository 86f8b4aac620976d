package org.lentilhinge.runtime.host;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.lentilhinge.attempt.RetryBudget;
import org.lentilhinge.booking.BookingGateway;
import org.lentilhinge.booking.BookingLimits;
import org.lentilhinge.booking.BookingPartitionOwner;
import org.lentilhinge.booking.ServiceDirectory;
import org.lentilhinge.configuration.Configuration;
import org.lentilhinge.configuration.ConfigurationChecker;
import org.lentilhinge.follow.ConfigurationFollower;
import org.lentilhinge.follow.RendezvousReaderSelector;
import org.lentilhinge.host.EntryHost;
import org.lentilhinge.host.HostEvent;
import org.lentilhinge.host.HostParameters;
import org.lentilhinge.identity.AttemptId;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.identity.HostIncarnation;
import org.lentilhinge.identity.RequestId;
import org.lentilhinge.identity.ZoneId;
import org.lentilhinge.membership.ListedHost;
import org.lentilhinge.runtime.engine.Addresses;
import org.lentilhinge.runtime.engine.EngineClient;
import org.lentilhinge.runtime.engine.EngineClientSettings;
import org.lentilhinge.runtime.engine.VllmEngineClient;
import org.lentilhinge.runtime.gateway.Admission;
import org.lentilhinge.runtime.gateway.AttemptRunner;
import org.lentilhinge.runtime.gateway.CompletionRoutes;
import org.lentilhinge.runtime.gateway.Gateway;
import org.lentilhinge.runtime.gateway.GatewaySettings;
import org.lentilhinge.runtime.gateway.OperationsRoutes;
import org.lentilhinge.runtime.gateway.RequestIdGenerator;
import org.lentilhinge.runtime.gateway.ResumingAttemptRunner;
import org.lentilhinge.runtime.gateway.RoundRobinServiceDispatcher;
import org.lentilhinge.runtime.gateway.Routes;
import org.lentilhinge.runtime.gateway.RuleClassifier;
import org.lentilhinge.runtime.gateway.RunningRequests;
import org.lentilhinge.runtime.gateway.ServiceRoutes;
import org.lentilhinge.runtime.ini.IniReader;
import org.lentilhinge.runtime.peer.MessageCodec;
import org.lentilhinge.runtime.peer.PeerMetrics;
import org.lentilhinge.runtime.peer.PeerNetwork;
import org.lentilhinge.runtime.peer.PeerSettings;
import org.lentilhinge.runtime.peer.PeerTimings;
import org.lentilhinge.runtime.peer.PeerTls;
import org.lentilhinge.runtime.platform.FollowDriver;
import org.lentilhinge.runtime.platform.HostList;
import org.lentilhinge.runtime.platform.HttpConfigurationService;
import org.lentilhinge.runtime.platform.HttpHostList;
import org.lentilhinge.runtime.service.HttpServiceClient;
import org.lentilhinge.runtime.service.ServiceClient;
import org.lentilhinge.runtime.service.ServiceClientSettings;
import org.lentilhinge.runtime.settings.Settings;
import org.lentilhinge.runtime.settings.TlsSettings;

/** Creates and connects the components of one entry host. */
final class HostComponents {

  private static final int CONFIGURATION_READER_COUNT = 2;
  private static final double RETRIES_PER_REQUEST = 0.1;
  private static final double MAXIMUM_SAVED_RETRIES = 10;

  private final Settings settings;
  private final HostEnvironment environment;
  private final HostIncarnation self;
  private final ZoneId zone;
  private final AppliedConfiguration configuration = new AppliedConfiguration();
  private final HostEventLoop loop;
  private final PeerNetwork peers;
  private final BookingPartitionLeases partitions;
  private final BookingDispatcher bookings;
  private final HostCommandExecutor commandExecutor;
  private final HostListPoller hostListPoller;
  private final HostFollowListener listener;
  private final FollowDriver follower;
  private final HostStatusReporter status;
  private final Gateway gateway;

  HostComponents(Settings settings, HostEnvironment environment, Context context) {
    this.settings = settings;
    this.environment = environment;
    this.zone = settings.host().zone();
    this.self = new HostIncarnation(settings.host().name(), environment.wallMillis().getAsLong());
    HostParameters parameters = HostParameters.defaults();
    List<ListedHost> seeds = seeds();
    EntryHost host =
        new EntryHost(
            self,
            zone,
            seeds,
            parameters,
            environment.random(),
            environment.monotonicMillis().getAsLong());
    host.declarePartitions(BookingPartitionLeases.endpoints());
    loop =
        new HostEventLoop(host, context, environment.monotonicMillis(), environment.wallMillis());
    peers = peerNetwork();
    partitions = new BookingPartitionLeases(loop, zone, parameters.lease());
    HttpClient platform = environment.vertx().createHttpClient();
    EngineClient engines =
        new VllmEngineClient(
            environment.vertx(),
            EngineClientSettings.DEFAULT,
            environment.scheduler(),
            environment.monotonicMillis(),
            environment.metrics());
    HostDispatcher dispatcher = new HostDispatcher(loop, configuration);
    EngineOrderRunner orders =
        new EngineOrderRunner(loop, engines, configuration, environment.decisions());
    commandExecutor =
        new HostCommandExecutor(
            peers::send, dispatcher, orders, partitions, environment.decisions());
    loop.setCommandHandler(commandExecutor);
    RequestIdGenerator requests = new RequestIdGenerator(self);
    bookings = createBookingDispatcher(requests);
    hostListPoller =
        new HostListPoller(loop, hostList(platform), settings.host().zone(), seeds, peers);
    listener =
        new HostFollowListener(
            loop,
            configuration,
            this::onConfigurationApplied,
            environment.decisions(),
            environment.metrics());
    follower = followDriver(platform);
    status = new HostStatusReporter(self, zone, loop, configuration, follower);
    gateway = gateway(engines, dispatcher, requests);
  }

  HostEventLoop loop() {
    return loop;
  }

  PeerNetwork peers() {
    return peers;
  }

  BookingPartitionLeases partitions() {
    return partitions;
  }

  BookingDispatcher bookings() {
    return bookings;
  }

  HostCommandExecutor commandExecutor() {
    return commandExecutor;
  }

  HostListPoller hostListPoller() {
    return hostListPoller;
  }

  FollowDriver follower() {
    return follower;
  }

  HostStatusReporter status() {
    return status;
  }

  Gateway gateway() {
    return gateway;
  }

  void updatePeers() {
    listener.updatePeers(follower, self.host(), zone);
  }

  private void onConfigurationApplied(Configuration applied) {
    bookings.applyConfiguration(applied);
    loop.process(new HostEvent.Configured(applied));
  }

  /** Returns the seeds of the settings and this host. */
  private List<ListedHost> seeds() {
    List<ListedHost> seeds = new ArrayList<>(settings.seeds());
    HostId name = settings.host().name();
    seeds.removeIf(seed -> seed.host().equals(name));
    seeds.add(new ListedHost(name, zone, settings.peer().address(), false));
    return seeds;
  }

  private PeerNetwork peerNetwork() {
    Vertx vertx = environment.vertx();
    var listenAddress = Addresses.parse(settings.peer().listen());
    byte[] secret = settings.peer().secret().orElse("tls").getBytes(StandardCharsets.UTF_8);
    PeerSettings peerSettings =
        new PeerSettings(
            self,
            zone,
            listenAddress.host(),
            listenAddress.port(),
            secret,
            settings.peer().tls().map(HostComponents::peerTls),
            settings.limits().frameBytes(),
            PeerSettings.DEFAULT_MAXIMUM_QUEUED_FRAMES,
            PeerTimings.DEFAULT);
    return new PeerNetwork(
        vertx,
        environment.scheduler(),
        peerSettings,
        new MessageCodec(HostMessages.registry()),
        new PeerMetrics(environment.metrics()),
        environment.random());
  }

  private static PeerTls peerTls(TlsSettings tls) {
    return new PeerTls(tls.certificateFile(), tls.keyFile(), tls.authorityFile());
  }

  private BookingDispatcher createBookingDispatcher(RequestIdGenerator requests) {
    ServiceClient services =
        new HttpServiceClient(
            environment.vertx(), ServiceClientSettings.DEFAULT, environment.scheduler());
    ServiceDirectory directory =
        service -> Optional.ofNullable(configuration.get().services().get(service));
    BookingPartitionOwner partitionOwner =
        new BookingPartitionOwner(
            self,
            zone,
            BookingLimits.DEFAULT,
            partitions,
            directory,
            new RetryBudget(RETRIES_PER_REQUEST, MAXIMUM_SAVED_RETRIES),
            attemptIds(requests));
    return new BookingDispatcher(
        self.host(),
        loop,
        new BookingGateway(BookingLimits.DEFAULT, directory, partitions),
        partitionOwner,
        services,
        new RoundRobinServiceDispatcher(services),
        peers::send);
  }

  /**
   * Supplies the ids of service attempts. Each id contains a newly generated request id, which
   * differs from those of the callers' requests.
   */
  private static Supplier<AttemptId> attemptIds(Supplier<RequestId> requests) {
    AtomicLong number = new AtomicLong();
    return () -> new AttemptId(requests.get(), (int) number.incrementAndGet());
  }

  private Optional<HostList> hostList(HttpClient client) {
    return settings.platform().hostList().map(address -> new HttpHostList(client, address));
  }

  private FollowDriver followDriver(HttpClient client) {
    ConfigurationFollower configurationFollower =
        new ConfigurationFollower(
            self.host(),
            new RendezvousReaderSelector(CONFIGURATION_READER_COUNT),
            new IniReader(),
            new ConfigurationChecker(),
            environment.random());
    return new FollowDriver(
        configurationFollower,
        new HttpConfigurationService(client, settings.platform().configurationService()),
        settings.platform().configurationKey(),
        peers::send,
        listener,
        environment.scheduler(),
        environment.monotonicMillis());
  }

  private Gateway gateway(
      EngineClient engines, HostDispatcher dispatcher, RequestIdGenerator requests) {
    var listenAddress = Addresses.parse(settings.gateway().listen());
    GatewaySettings gatewaySettings =
        new GatewaySettings(
            listenAddress.host(),
            listenAddress.port(),
            settings.limits().headerBytes(),
            settings.limits().bodyBytes(),
            (int) (settings.limits().idleTimeoutMillis() / 1_000));
    MetricRegistry metrics = environment.metrics();
    RunningRequests running = new RunningRequests();
    Admission admission =
        new Admission(configuration, requests, running, environment.decisions(), metrics);
    AttemptRunner runner =
        ResumingAttemptRunner.withDefaults(
            dispatcher, engines, environment.decisions(), metrics, environment.monotonicMillis());
    List<Routes> routes =
        List.of(
            new CompletionRoutes(
                gatewaySettings,
                admission,
                new RuleClassifier(),
                runner,
                metrics,
                environment.monotonicMillis(),
                environment.wallMillis()),
            new ServiceRoutes(
                gatewaySettings, admission, bookings, environment.decisions(), metrics),
            new TicketRoutes(admission, bookings),
            new OperationsRoutes(status, metrics));
    return new Gateway(
        environment.vertx(),
        gatewaySettings,
        running,
        routes,
        environment.decisions(),
        environment.scheduler());
  }
}
