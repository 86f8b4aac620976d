package org.lentilhinge.permit;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.lentilhinge.fleet.EndpointState;
import org.lentilhinge.fleet.FleetEndpoint;
import org.lentilhinge.forward.ZoneDistances;
import org.testng.annotations.Test;

/** Tests the choice of the engine. */
public class EngineBoardTest {

  private final ZoneDistances distances =
      new ZoneDistances("a", "north", Map.of("a", "north", "b", "north", "c", "south"));
  private final List<FleetEndpoint> engines =
      List.of(engine("one", "a"), engine("two", "b"), engine("three", "c"));

  private static FleetEndpoint engine(String id, String zone) {
    return new FleetEndpoint(
        id, 1, "s", "10.0.0.1:80", zone, EndpointState.READY, 0, 1, List.of("m"));
  }

  private String chosen(EngineBoard board, String adapter, long nowMillis) {
    return board
        .choose(engines, Set.of(), adapter, distances, engine -> 0, nowMillis)
        .orElseThrow()
        .id();
  }

  private static EngineNotice notice(String id, List<String> adapters, long backlog, int free) {
    return new EngineNotice(id + "/1", true, adapters, backlog, free, 0);
  }

  @Test
  public void engineThatHasTheAdapterComesFirst() {
    EngineBoard board = new EngineBoard();
    board.noted("h", notice("one", List.of("y"), 0, 3), 0);
    board.noted("h", notice("two", List.of("x"), 0, 3), 0);
    assertEquals(chosen(board, "x", 10), "two");
  }

  @Test
  public void longBacklogMovesWorkOn() {
    EngineBoard board = new EngineBoard();
    board.noted("h", notice("one", List.of("x"), 2_000, 3), 0);
    board.noted("h", notice("two", List.of(), 0, 3), 0);
    assertTrue(!chosen(board, "x", 10).equals("one"));
  }

  @Test
  public void absentAdapterGoesToItsHomeInTheNearRegion() {
    EngineBoard board = new EngineBoard();
    int far = 0;
    for (int adapter = 0; adapter < 50; adapter++) {
      far += chosen(board, "a" + adapter, 0).equals("three") ? 1 : 0;
    }
    assertEquals(far, 0);
  }

  @Test
  public void holderOutranksWhoOnlyWatches() {
    EngineBoard board = new EngineBoard();
    board.noted("holder", notice("one", List.of(), 0, 3), 0);
    board.noted("other", new EngineNotice("one/1", false, List.of(), 0, 3, 0), 100);
    assertEquals(board.host("one/1", 200).orElseThrow(), "holder");
    assertTrue(board.host("one/1", 9_000).isEmpty());
  }
}
