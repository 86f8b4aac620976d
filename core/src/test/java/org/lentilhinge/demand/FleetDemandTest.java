package org.lentilhinge.demand;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.lentilhinge.fleet.EndpointState;
import org.lentilhinge.fleet.FleetEndpoint;
import org.lentilhinge.identity.StoreRevision;
import org.testng.annotations.Test;

/** Tests the measured demand for adapters and the engines that it needs. */
public class FleetDemandTest {

  private static final int ENGINES = 98;

  private static List<FleetEndpoint> engines(int count) {
    List<FleetEndpoint> engines = new ArrayList<>();
    for (int index = 0; index < count; index++) {
      engines.add(
          new FleetEndpoint(
              "e" + index,
              1,
              "s",
              "10.0.0.1:80",
              "a",
              EndpointState.READY,
              0,
              new StoreRevision(0, 1),
              List.of("m"),
              "v1",
              64));
    }
    return engines;
  }

  /** Records the requests of one second, ten for each load of 1. */
  private static void request(DemandMeter meter, String adapter, double load, long fromMillis) {
    int requests = (int) Math.round(load * 10);
    for (int index = 0; index < requests; index++) {
      meter.recordRequest(adapter, 100, fromMillis + index * 1_000L / requests);
    }
  }

  @Test
  public void meterFindsLastingDemandWithinOneSecondAndForgetsItInSeconds() {
    DemandMeter meter = new DemandMeter();
    for (int second = 0; second < 2; second++) {
      request(meter, "x", 0.6, second * 1_000L);
    }
    AdapterLoad load = meter.loads(2_000).get(0);
    assertEquals(load.adapter(), "x");
    assertEquals(load.load(), 0.45, 0.15);
    assertTrue(meter.loads(8_000).isEmpty());
  }

  @Test
  public void meterStatesFewAdapters() {
    DemandMeter meter = new DemandMeter();
    for (int adapter = 0; adapter < 1_000; adapter++) {
      meter.recordRequest("a" + adapter, 100, 0);
    }
    assertTrue(meter.loads(0).size() <= 8);
  }

  // The hottest adapter had two preferred engines although it occupied twelve.
  @Test
  public void adapterGetsAsManyEnginesAsItsDemandOverAllEnginesNeeds() {
    FleetDemand demand = new FleetDemand();
    for (int engine = 0; engine < 16; engine++) {
      demand.update("e" + engine, List.of(new AdapterLoad("hot", 7, 0.75)), 0);
    }
    assertEquals(demand.engines("hot", 1_000), 30);
    assertEquals(demand.engines("other", 1_000), FleetDemand.MINIMUM_ENGINES);
    assertEquals(demand.spread(1_000).get(0).adapter(), "hot");
  }

  @Test
  public void littleDemandNeedsNoFurtherEngines() {
    FleetDemand demand = new FleetDemand();
    demand.update("e1", List.of(new AdapterLoad("x", 7, 0.75)), 0);
    demand.update("e2", List.of(new AdapterLoad("x", 7, 0.75)), 0);
    assertEquals(demand.engines("x", 1_000), FleetDemand.MINIMUM_ENGINES);
    assertTrue(demand.spread(1_000).isEmpty());
  }

  // An adapter that lost its engines in a short pause had to be loaded again on all of them.
  @Test
  public void numberOfEnginesRisesAtOnceAndFallsWithinSeconds() {
    FleetDemand demand = new FleetDemand();
    demand.update("e1", List.of(new AdapterLoad("x", 40, 4)), 0);
    assertEquals(demand.engines("x", 1_000), 10);
    demand.update("e1", List.of(), 0);
    assertEquals(demand.engines("x", 1_500), 9, 1);
    assertEquals(demand.engines("x", 60_000), FleetDemand.MINIMUM_ENGINES);
  }

  // The last status of an engine can arrive after the engine has ended.
  @Test
  public void demandThatIsNotRepeatedEnds() {
    FleetDemand demand = new FleetDemand();
    demand.update("e1", List.of(new AdapterLoad("x", 40, 4)), 0);
    assertEquals(demand.engines("x", 2_000), 10);
    assertEquals(demand.engines("x", 30_000), FleetDemand.MINIMUM_ENGINES);
  }

  // One prompt of 82,000 tokens, four seconds of prefill, spread its adapter over eight engines.
  @Test
  public void singleLongPromptIsNoDemandForFurtherEngines() {
    DemandMeter meter = new DemandMeter();
    meter.recordRequest("x", 4_000, 0);
    FleetDemand demand = new FleetDemand();
    demand.update("e1", meter.loads(0), 0);
    assertEquals(demand.engines("x", 200), FleetDemand.MINIMUM_ENGINES);
  }

  @Test
  public void demandOfLostEngineIsRemoved() {
    FleetDemand demand = new FleetDemand();
    demand.update("e1", List.of(new AdapterLoad("x", 40, 4)), 0);
    demand.remove("e1");
    assertEquals(demand.engines("x", 1_000), FleetDemand.MINIMUM_ENGINES);
  }

  @Test
  public void preferredEnginesStayWhenTheNumberGrowsAndWhenAnEngineIsLost() {
    List<FleetEndpoint> engines = engines(ENGINES);
    List<String> ten = PreferredEngines.first(engines, "x", 10);
    assertEquals(PreferredEngines.first(engines, "x", 20).subList(0, 10), ten);
    List<FleetEndpoint> fewer = new ArrayList<>(engines);
    fewer.removeIf(engine -> engine.incarnation().equals(ten.get(3)));
    Set<String> kept = new HashSet<>(ten);
    kept.retainAll(PreferredEngines.first(fewer, "x", 10));
    assertEquals(kept.size(), 9);
  }
}
