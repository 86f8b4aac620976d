package org.lentilhinge.permit;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.lentilhinge.demand.AdapterLoad;
import org.lentilhinge.fleet.EndpointState;
import org.lentilhinge.fleet.FleetEndpoint;
import org.lentilhinge.forward.ZoneDistances;
import org.lentilhinge.identity.StoreRevision;
import org.testng.annotations.Test;

/** Tests the selection of an engine. */
public class EngineSelectorTest {

  private final ZoneDistances distances =
      new ZoneDistances("a", "north", Map.of("a", "north", "b", "north", "c", "south"));
  private final List<FleetEndpoint> engines =
      List.of(engine("one", "a"), engine("two", "b"), engine("three", "c"));

  private static FleetEndpoint engine(String id, String zone) {
    return new FleetEndpoint(
        id,
        1,
        "s",
        "10.0.0.1:80",
        zone,
        EndpointState.READY,
        0,
        new StoreRevision(0, 1),
        List.of("m"),
        "v1",
        6);
  }

  private String selected(EngineSelector selector, String adapter, long nowMillis) {
    return selector
        .select(engines, Set.of(), adapter, distances, engine -> 0, 0, nowMillis)
        .orElseThrow()
        .id();
  }

  private static EngineStatus status(
      String id, List<String> adapters, long backlogMillis, int availableSlots) {
    return new EngineStatus(id + "/1", true, adapters, backlogMillis, availableSlots, 0);
  }

  @Test
  public void prefersEngineThatHasTheAdapter() {
    EngineSelector selector = new EngineSelector();
    selector.updateStatus("h", status("one", List.of("y"), 0, 3), 0);
    selector.updateStatus("h", status("two", List.of("x"), 0, 3), 0);
    assertEquals(selected(selector, "x", 10), "two");
  }

  @Test
  public void avoidsEngineWithLongBacklog() {
    EngineSelector selector = new EngineSelector();
    selector.updateStatus("h", status("one", List.of("x"), 2_000, 3), 0);
    selector.updateStatus("h", status("two", List.of(), 0, 3), 0);
    assertTrue(!selected(selector, "x", 10).equals("one"));
  }

  @Test
  public void absentAdapterHasTheSamePreferredEngineInAllRegions() {
    ZoneDistances south =
        new ZoneDistances("c", "south", Map.of("a", "north", "b", "north", "c", "south"));
    EngineSelector selector = new EngineSelector();
    Map<String, Integer> preferredCounts = new HashMap<>();
    for (int adapter = 0; adapter < 300; adapter++) {
      String name = "a" + adapter;
      String preferred = selected(selector, name, 0);
      String other =
          selector.select(engines, Set.of(), name, south, engine -> 0, 0, 0).orElseThrow().id();
      assertEquals(other, preferred, name);
      preferredCounts.merge(preferred, 1, Integer::sum);
    }
    // Each engine should be preferred for a third of the adapters: 100 within four standard
    // deviations.
    preferredCounts.values().forEach(count -> assertEquals(count, 100, 33));
  }

  @Test
  public void fullPreferredEngineIsReplacedByOneSecondaryEngine() {
    EngineSelector selector = new EngineSelector();
    Set<String> secondaries = new HashSet<>();
    for (int round = 0; round < 5; round++) {
      EngineSelector full = new EngineSelector();
      String preferred = selected(selector, "x", 0);
      full.updateStatus(
          "h", new EngineStatus(preferred + "/1", true, List.of(), 200, 0, 3 + round), 0);
      secondaries.add(selected(full, "x", 10));
    }
    assertEquals(secondaries.size(), 1);
    assertFalse(secondaries.contains(selected(selector, "x", 0)));
  }

  private EngineSelector withHotAdapter() {
    EngineSelector selector = new EngineSelector();
    for (String id : List.of("one", "two")) {
      selector.updateStatus(
          "h",
          status(id, List.of("hot"), 0, 3).withLoads(List.of(new AdapterLoad("s/hot", 10, 1))),
          0);
    }
    return selector;
  }

  // Hosts with the same statuses all chose the same engine until the next status.
  @Test
  public void requestsForSpreadAdapterAreDividedAmongItsEngines() {
    EngineSelector selector = withHotAdapter();
    Map<String, Integer> counts = new HashMap<>();
    for (int request = 0; request < 100; request++) {
      String id =
          selector
              .select(engines, Set.of(), "hot", distances, engine -> 0, request, 10)
              .orElseThrow()
              .id();
      counts.merge(id, 1, Integer::sum);
    }
    assertEquals(counts, Map.of("one", 50, "two", 50));
  }

  @Test
  public void requestForSpreadAdapterAvoidsBusyEngine() {
    EngineSelector selector = withHotAdapter();
    selector.updateStatus("h", status("two", List.of("hot"), 400, 3), 0);
    for (int request = 0; request < 100; request++) {
      assertEquals(
          selector
              .select(engines, Set.of(), "hot", distances, engine -> 0, request, 10)
              .orElseThrow()
              .id(),
          "one");
    }
  }

  // The choice for adapters with little demand must not depend on the request.
  @Test
  public void requestsForOtherAdaptersGoToTheirPreferredEngine() {
    EngineSelector selector = withHotAdapter();
    Set<String> selected = new HashSet<>();
    for (int request = 0; request < 100; request++) {
      selected.add(
          selector
              .select(engines, Set.of(), "cold", distances, engine -> 0, request, 10)
              .orElseThrow()
              .id());
    }
    assertEquals(selected.size(), 1);
  }

  @Test
  public void statusOfTheOwnerTakesPrecedence() {
    EngineSelector selector = new EngineSelector();
    selector.updateStatus("holder", status("one", List.of(), 0, 3), 0);
    selector.updateStatus("other", new EngineStatus("one/1", false, List.of(), 0, 3, 0), 100);
    assertEquals(selector.schedulingHost("one/1", 200).orElseThrow(), "holder");
    assertTrue(selector.schedulingHost("one/1", 9_000).isEmpty());
  }
}
