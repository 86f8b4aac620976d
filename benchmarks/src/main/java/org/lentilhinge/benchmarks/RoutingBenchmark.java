package org.lentilhinge.benchmarks;

import java.util.HashSet;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.lentilhinge.configuration.Configuration;
import org.lentilhinge.identity.AdapterVersion;
import org.lentilhinge.placement.EngineAnnouncement;
import org.lentilhinge.routing.AffinityRouting;
import org.lentilhinge.routing.ClassifiedRequest;
import org.lentilhinge.routing.FleetView;
import org.lentilhinge.routing.LinkCosts;
import org.lentilhinge.routing.RequestAttributes;
import org.lentilhinge.routing.RequestClassifier;
import org.lentilhinge.routing.RoutingDecision;
import org.lentilhinge.routing.RoutingRequest;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Measures the classification and routing of a request by a gateway. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Fork(1)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
public class RoutingBenchmark {

  private static final long SEED = 1;

  /**
   * The number of adapters and the number of engines in the configuration, separated by a slash.
   */
  @Param({"3000/6", "180000/168", "180000/504"})
  private String size;

  private final SplittableRandom random = new SplittableRandom(SEED);
  private RequestClassifier classifier;
  private FleetView fleet;
  private AffinityRouting routing;
  private int adapters;
  private int engines;

  /** Creates the configuration and fills the engines' adapter slots. */
  @Setup(Level.Trial)
  public void fill() {
    adapters = Integer.parseInt(size.substring(0, size.indexOf('/')));
    engines = Integer.parseInt(size.substring(size.indexOf('/') + 1));
    Configuration configuration = SampleConfiguration.of(adapters, engines);
    classifier = new RequestClassifier(configuration);
    routing = new AffinityRouting(configuration, LinkCosts.DEFAULTS);
    fleet = new FleetView(SampleConfiguration.ZONE, configuration);
    for (int engine = 0; engine < engines; engine++) {
      Set<AdapterVersion> resident = new HashSet<>();
      for (int slot = 0; slot < SampleConfiguration.ADAPTER_SLOTS; slot++) {
        resident.add(version(residentAdapter(engine, slot)));
      }
      fleet.applyAnnouncement(
          new EngineAnnouncement(
              SampleConfiguration.engine(engine),
              1,
              1,
              true,
              resident,
              Set.of(),
              Set.of(),
              random.nextInt(32),
              0,
              0,
              0,
              false),
          0);
    }
  }

  /**
   * Classifies a request.
   *
   * @return the classified request
   */
  @Benchmark
  public ClassifiedRequest classify() {
    return classified(random.nextInt(adapters));
  }

  /**
   * Classifies and routes a request for an adapter that is loaded at one or more engines.
   *
   * @return the routing decision
   */
  @Benchmark
  public RoutingDecision routeToHolder() {
    int engine = random.nextInt(engines);
    int slot = random.nextInt(SampleConfiguration.ADAPTER_SLOTS);
    return route(residentAdapter(engine, slot));
  }

  /**
   * Classifies and routes a request for any adapter; most of the adapters are not loaded.
   *
   * @return the routing decision
   */
  @Benchmark
  public RoutingDecision routeAny() {
    return route(random.nextInt(adapters));
  }

  private RoutingDecision route(int adapter) {
    return routing.route(
        new RoutingRequest(classified(adapter), Set.of(), OptionalLong.empty(), 20_000),
        fleet,
        1_000);
  }

  private ClassifiedRequest classified(int adapter) {
    RequestAttributes attributes =
        new RequestAttributes(Map.of("model", SampleConfiguration.adapter(adapter).value()));
    return classifier.classify(SampleConfiguration.caller(adapter), attributes).get();
  }

  private int residentAdapter(int engine, int slot) {
    return (engine * SampleConfiguration.ADAPTER_SLOTS + slot) * 7 % adapters;
  }

  private static AdapterVersion version(int adapter) {
    return new AdapterVersion(SampleConfiguration.adapter(adapter), 1);
  }
}
