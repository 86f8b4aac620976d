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
import org.lentilhinge.permit.EngineStatus;
import org.lentilhinge.permit.HostHeartbeat;
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
  public void configurationAndAdapterVersionsNeverDecrease() {
    HostState state = state();
    assertTrue(state.applyConfiguration(configuration(7)));
    assertFalse(state.applyConfiguration(configuration(3)));
    assertEquals(state.configuration().orElseThrow().version(), 7);
    assertTrue(state.recordRelease(new AdapterRelease("m", "a", 2)));
    assertFalse(state.recordRelease(new AdapterRelease("m", "a", 1)));
    assertEquals(state.adapterVersion("m", "a"), 2);
    assertEquals(state.adapterVersion("m", "other"), 0);
  }

  @Test
  public void hostInEngineZoneRunsSchedulerUntilAnotherAnnouncesOwnership() {
    HostState state = state();
    state
        .hosts()
        .recordHeartbeat("10.0.0.2", new HostHeartbeat("b", "south", false, List.of()), 100);
    assertEquals(state.schedulerHost(engine("a")), "10.0.0.1");
    assertEquals(state.schedulerHost(engine("b")), "10.0.0.2");
    EngineStatus status = new EngineStatus("e/1", true, List.of(), 0, 6, 0);
    state.engineSelector().updateStatus("10.0.0.2", status, 100);
    assertEquals(state.schedulerHost(engine("a")), "10.0.0.2");
  }

  @Test
  public void leavingHostIsNotSelected() {
    HostState state = state();
    state
        .hosts()
        .recordHeartbeat("10.0.0.2", new HostHeartbeat("a", "north", false, List.of()), 100);
    state.setLeaving();
    assertEquals(state.schedulerHost(engine("a")), "10.0.0.2");
  }

  @Test
  public void disconnectedHostIsNotSelectedButKeepsItsRank() {
    HostState state = state();
    HostHeartbeat heartbeat = new HostHeartbeat("b", "south", false, List.of());
    state.hosts().recordHeartbeat("10.0.0.2", heartbeat, 100);
    state.hosts().markDisconnected("10.0.0.2");
    assertEquals(state.schedulerHost(engine("b")), "10.0.0.1");
    assertEquals(state.ownerRanking(engine("b")).get(0), "10.0.0.2");
    state.hosts().recordHeartbeat("10.0.0.2", heartbeat, 150);
    assertEquals(state.schedulerHost(engine("b")), "10.0.0.2");
  }
}
