package org.lentilhinge.emulator.load;

import com.codahale.metrics.MetricRegistry;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Scheduler;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import io.vertx.rxjava3.ContextScheduler;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;
import org.lentilhinge.configuration.Configuration;
import org.lentilhinge.configuration.FencingSupport;
import org.lentilhinge.emulator.engine.EngineServer;
import org.lentilhinge.emulator.engine.EngineSettings;
import org.lentilhinge.emulator.engine.StepTimer;
import org.lentilhinge.emulator.service.ServiceServer;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.FencingToken;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.identity.HostIncarnation;
import org.lentilhinge.runtime.decision.DecisionLog;
import org.lentilhinge.runtime.engine.EngineClient;
import org.lentilhinge.runtime.engine.EngineClientSettings;
import org.lentilhinge.runtime.engine.VllmEngineClient;
import org.lentilhinge.runtime.gateway.Admission;
import org.lentilhinge.runtime.gateway.AttemptRunner;
import org.lentilhinge.runtime.gateway.CompletionRoutes;
import org.lentilhinge.runtime.gateway.Dispatcher;
import org.lentilhinge.runtime.gateway.Gateway;
import org.lentilhinge.runtime.gateway.HostStatus;
import org.lentilhinge.runtime.gateway.LeastLoadedDispatcher;
import org.lentilhinge.runtime.gateway.OperationsRoutes;
import org.lentilhinge.runtime.gateway.RequestIdGenerator;
import org.lentilhinge.runtime.gateway.ResumingAttemptRunner;
import org.lentilhinge.runtime.gateway.RoundRobinServiceDispatcher;
import org.lentilhinge.runtime.gateway.RuleClassifier;
import org.lentilhinge.runtime.gateway.RunningRequests;
import org.lentilhinge.runtime.gateway.ServiceRoutes;
import org.lentilhinge.runtime.service.HttpServiceClient;
import org.lentilhinge.runtime.service.ServiceClientSettings;

/**
 * Runs one entry host's gateway with simple dispatchers, emulated engines and an emulated service,
 * all on free loopback ports. Timeouts use the system's clocks unless a scheduler is given.
 */
public final class LoopbackHost {

  /** The API key of the caller water-utility, which requests the model reports. */
  public static final String WATER_KEY = "water-key";

  /** The API key of the caller counter-bilbao. */
  public static final String COUNTER_KEY = "counter-key";

  private static final HostIncarnation HOST = new HostIncarnation(new HostId("entry-1"), 1);
  private static final long NANOS_PER_MILLISECOND = 1_000_000;
  private static final int ADAPTER_SLOTS = 4;

  private final Vertx vertx;
  private final LoopbackSettings settings;
  private final DecisionLog decisions;
  private final MetricRegistry metrics = new MetricRegistry();
  private final List<EngineServer> engines = new ArrayList<>();
  private final ServiceServer service;
  private final RunningRequests inFlightRequests = new RunningRequests();
  private final Scheduler scheduler;
  private final LongSupplier nowMillis;
  private final List<Integer> enginePorts = new ArrayList<>();
  private Gateway gateway;
  private int port;

  /**
   * Creates the host and its emulators, which do not listen yet.
   *
   * @param vertx the Vert.x instance that runs the gateway and the emulators
   * @param settings the size and limits
   * @param timer schedules the engines' decoding steps
   * @param decisions the log of the host's decisions
   */
  public LoopbackHost(
      Vertx vertx, LoopbackSettings settings, StepTimer timer, DecisionLog decisions) {
    this(
        vertx,
        settings,
        timer,
        decisions,
        new ContextScheduler(vertx, false),
        () -> System.nanoTime() / NANOS_PER_MILLISECOND);
  }

  /**
   * Creates the host and its emulators with a given scheduler and clock for all timeouts.
   *
   * @param vertx the Vert.x instance that runs the gateway and the emulators
   * @param settings the size and limits
   * @param timer schedules the engines' decoding steps
   * @param decisions the log of the host's decisions
   * @param scheduler the scheduler of the timeouts
   * @param nowMillis the monotonic clock, in milliseconds
   */
  public LoopbackHost(
      Vertx vertx,
      LoopbackSettings settings,
      StepTimer timer,
      DecisionLog decisions,
      Scheduler scheduler,
      LongSupplier nowMillis) {
    this.vertx = vertx;
    this.settings = settings;
    this.decisions = decisions;
    this.scheduler = scheduler;
    this.nowMillis = nowMillis;
    this.service = new ServiceServer(vertx, settings.deduplication());
    for (int index = 0; index < settings.engines(); index++) {
      engines.add(engine(index, timer));
    }
  }

  /**
   * Returns the endpoint id of an engine.
   *
   * @param index the engine's index, from 0
   * @return the endpoint id
   */
  public static EndpointId engineId(int index) {
    return new EndpointId("engine-" + (index + 1));
  }

  /** Starts the emulators and then the gateway, and waits until all of them listen. */
  public void start() {
    engines.forEach(engine -> enginePorts.add(engine.start(0).blockingGet()));
    int servicePort = service.start(0).blockingGet();
    Configuration configuration = LoopbackConfiguration.of(settings, enginePorts, servicePort);
    gateway = createGateway(configuration);
    port = gateway.start().blockingGet();
  }

  /**
   * Returns the gateway's port.
   *
   * @return the port
   */
  public int port() {
    return port;
  }

  /**
   * Returns an engine's port.
   *
   * @param index the engine's index, from 0
   * @return the port
   */
  public int enginePort(int index) {
    return enginePorts.get(index);
  }

  /**
   * Returns an engine.
   *
   * @param index the engine's index, from 0
   * @return the engine
   */
  public EngineServer engine(int index) {
    return engines.get(index);
  }

  /**
   * Returns the service.
   *
   * @return the service
   */
  public ServiceServer service() {
    return service;
  }

  /**
   * Returns the metrics of the entry host.
   *
   * @return the metrics
   */
  public MetricRegistry metrics() {
    return metrics;
  }

  /**
   * Returns the entry host's in-flight requests.
   *
   * @return the requests
   */
  public RunningRequests inFlightRequests() {
    return inFlightRequests;
  }

  /**
   * Stops the gateway.
   *
   * @param drainMillis the maximum wait for in-flight requests, in milliseconds
   * @return a Completable that completes when the gateway is closed
   */
  public Completable stop(long drainMillis) {
    return gateway.stop(drainMillis);
  }

  private EngineServer engine(int index, StepTimer timer) {
    EngineSettings engineSettings =
        new EngineSettings(
            engineId(index), ADAPTER_SLOTS, settings.batchSlots(), FencingSupport.CHECKED, 0);
    return new EngineServer(
        vertx, engineSettings, adapter -> Completable.complete(), timer, nowMillis);
  }

  private Gateway createGateway(Configuration configuration) {
    EngineClient client =
        new VllmEngineClient(vertx, EngineClientSettings.DEFAULT, scheduler, nowMillis, metrics);
    Dispatcher dispatcher =
        new LeastLoadedDispatcher(
            () -> configuration, client, new FencingToken(1, HOST.host()), nowMillis);
    AttemptRunner runner =
        ResumingAttemptRunner.withDefaults(dispatcher, client, decisions, metrics, nowMillis);
    Admission admission =
        new Admission(
            () -> configuration,
            new RequestIdGenerator(HOST),
            inFlightRequests,
            decisions,
            metrics);
    CompletionRoutes completions =
        new CompletionRoutes(
            settings.gateway(),
            admission,
            new RuleClassifier(),
            runner,
            metrics,
            nowMillis,
            () -> 0L);
    HttpServiceClient services =
        new HttpServiceClient(vertx, ServiceClientSettings.DEFAULT, scheduler);
    ServiceRoutes calls =
        new ServiceRoutes(
            settings.gateway(),
            admission,
            new RoundRobinServiceDispatcher(services),
            decisions,
            metrics);
    OperationsRoutes operations = new OperationsRoutes(new Status(), metrics);
    return new Gateway(
        vertx,
        settings.gateway(),
        inFlightRequests,
        List.of(completions, calls, operations),
        decisions,
        scheduler);
  }

  private final class Status implements HostStatus {

    @Override
    public boolean isReady() {
      return !inFlightRequests.isDraining();
    }

    @Override
    public JsonObject report() {
      return new JsonObject()
          .put("host", HOST.host().value())
          .put("running", inFlightRequests.size());
    }
  }
}
