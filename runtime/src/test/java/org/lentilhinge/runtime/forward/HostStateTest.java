package org.lentilhinge.runtime.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Vertx;
import java.io.PrintStream;
import java.util.List;
import java.util.Map;
import org.lentilhinge.fleet.EndpointState;
import org.lentilhinge.fleet.FleetEndpoint;
import org.lentilhinge.forward.ForwardConfiguration;
import org.lentilhinge.forward.ForwardLimits;
import org.lentilhinge.permit.EngineNotice;
import org.lentilhinge.permit.HostBeacon;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Tests that versions never decrease, and which host runs the scheduler of an engine. */
public class HostStateTest {

  private Vertx vertx;

  @BeforeClass
  public void start() {
    vertx = Vertx.vertx();
  }

  @AfterClass
  public void stop() {
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  private HostState state() {
    ForwardSettings settings =
        new ForwardSettings(
            "10.0.0.1",
            "a",
            "north",
            Map.of("a", "north", "b", "south"),
            "127.0.0.1:1",
            "127.0.0.1:2",
            "/ready",
            "10.0.0.1:3",
            "secret",
            List.of("10.0.0.2:3"),
            "127.0.0.1:4",
            0,
            new ForwardSettings.Bounds(8_000, 3_000, 0.2, 56, 10_000));
    EventLog log = new EventLog(new PrintStream(PrintStream.nullOutputStream()), () -> 0);
    return new HostState(new HostContext(vertx, settings, () -> 100, log, new MetricRegistry()));
  }

  private static ForwardConfiguration configuration(long version) {
    return new ForwardConfiguration(version, List.of(), Map.of(), ForwardLimits.DEFAULT);
  }

  private static FleetEndpoint engine(String zone) {
    return new FleetEndpoint(
        "e", 1, "s", "10.0.9.9:80", zone, EndpointState.READY, 0, 1, List.of("m"));
  }

  @Test
  public void configurationAndAdapterVersionsNeverGoBack() {
    HostState state = state();
    assertTrue(state.configure(configuration(7)));
    assertFalse(state.configure(configuration(3)));
    assertEquals(state.configuration().orElseThrow().version(), 7);
    assertTrue(state.release(new AdapterRelease("m", "a", 2)));
    assertFalse(state.release(new AdapterRelease("m", "a", 1)));
    assertEquals(state.version("m", "a"), 2);
    assertEquals(state.version("m", "other"), 0);
  }

  @Test
  public void hostOfTheEnginesZoneDecidesUntilAnotherSaysThatItHolds() {
    HostState state = state();
    state.hosts().heard("10.0.0.2", new HostBeacon("b", "south", false, List.of()), 100);
    assertEquals(state.desk(engine("a")), "10.0.0.1");
    assertEquals(state.desk(engine("b")), "10.0.0.2");
    EngineNotice status = new EngineNotice("e/1", true, List.of(), 0, 6, 0);
    state.board().noted("10.0.0.2", status, 100);
    assertEquals(state.desk(engine("a")), "10.0.0.2");
  }

  @Test
  public void leavingHostIsNoCandidate() {
    HostState state = state();
    state.hosts().heard("10.0.0.2", new HostBeacon("a", "north", false, List.of()), 100);
    state.leave();
    assertEquals(state.desk(engine("a")), "10.0.0.2");
  }

  @Test
  public void hostWhoseLinkBrokeIsNotAskedButKeepsItsRank() {
    HostState state = state();
    HostBeacon heartbeat = new HostBeacon("b", "south", false, List.of());
    state.hosts().heard("10.0.0.2", heartbeat, 100);
    state.hosts().unlinked("10.0.0.2");
    assertEquals(state.desk(engine("b")), "10.0.0.1");
    assertEquals(state.ranking(engine("b")).get(0), "10.0.0.2");
    state.hosts().heard("10.0.0.2", heartbeat, 150);
    assertEquals(state.desk(engine("b")), "10.0.0.2");
  }
}
