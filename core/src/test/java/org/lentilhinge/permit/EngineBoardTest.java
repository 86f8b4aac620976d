package org.lentilhinge.permit;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.lentilhinge.fleet.EndpointState;
import org.lentilhinge.fleet.FleetEndpoint;
import org.lentilhinge.forward.ZoneDistances;
import org.testng.annotations.Test;

/** Tests the selection of an engine. */
public class EngineBoardTest {

  private final ZoneDistances distances =
      new ZoneDistances("a", "north", Map.of("a", "north", "b", "north", "c", "south"));
  private final List<FleetEndpoint> engines =
      List.of(engine("one", "a"), engine("two", "b"), engine("three", "c"));

  private static FleetEndpoint engine(String id, String zone) {
    return new FleetEndpoint(
        id, 1, "s", "10.0.0.1:80", zone, EndpointState.READY, 0, 1, List.of("m"));
  }

  private String chosen(EngineBoard selector, String adapter, long nowMillis) {
    return selector
        .choose(engines, Set.of(), adapter, distances, engine -> 0, nowMillis)
        .orElseThrow()
        .id();
  }

  private static EngineNotice notice(String id, List<String> adapters, long backlog, int free) {
    return new EngineNotice(id + "/1", true, adapters, backlog, free, 0);
  }

  @Test
  public void engineThatHasTheAdapterComesFirst() {
    EngineBoard selector = new EngineBoard();
    selector.noted("h", notice("one", List.of("y"), 0, 3), 0);
    selector.noted("h", notice("two", List.of("x"), 0, 3), 0);
    assertEquals(chosen(selector, "x", 10), "two");
  }

  @Test
  public void longBacklogMovesWorkOn() {
    EngineBoard selector = new EngineBoard();
    selector.noted("h", notice("one", List.of("x"), 2_000, 3), 0);
    selector.noted("h", notice("two", List.of(), 0, 3), 0);
    assertTrue(!chosen(selector, "x", 10).equals("one"));
  }

  @Test
  public void absentAdapterGoesToOneHomeFromTheHostsOfAllRegions() {
    ZoneDistances south =
        new ZoneDistances("c", "south", Map.of("a", "north", "b", "north", "c", "south"));
    EngineBoard selector = new EngineBoard();
    Map<String, Integer> preferredCounts = new HashMap<>();
    for (int adapter = 0; adapter < 300; adapter++) {
      String name = "a" + adapter;
      String preferred = chosen(selector, name, 0);
      String other =
          selector.choose(engines, Set.of(), name, south, engine -> 0, 0).orElseThrow().id();
      assertEquals(other, preferred, name);
      preferredCounts.merge(preferred, 1, Integer::sum);
    }
    // Each engine is preferred by about a third of the adapters: 100 within four standard
    // deviations.
    preferredCounts.values().forEach(count -> assertEquals(count, 100, 33));
  }

  @Test
  public void fullHomeHandsOverToOneSecondHome() {
    EngineBoard selector = new EngineBoard();
    Set<String> secondaries = new HashSet<>();
    for (int round = 0; round < 5; round++) {
      EngineBoard full = new EngineBoard();
      String preferred = chosen(selector, "x", 0);
      full.noted("h", new EngineNotice(preferred + "/1", true, List.of(), 200, 0, 3 + round), 0);
      secondaries.add(chosen(full, "x", 10));
    }
    assertEquals(secondaries.size(), 1);
    assertFalse(secondaries.contains(chosen(selector, "x", 0)));
  }

  @Test
  public void holderOutranksWhoOnlyWatches() {
    EngineBoard selector = new EngineBoard();
    selector.noted("holder", notice("one", List.of(), 0, 3), 0);
    selector.noted("other", new EngineNotice("one/1", false, List.of(), 0, 3, 0), 100);
    assertEquals(selector.host("one/1", 200).orElseThrow(), "holder");
    assertTrue(selector.host("one/1", 9_000).isEmpty());
  }
}
