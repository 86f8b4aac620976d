package org.lentilhinge.runtime.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Vertx;
import java.io.PrintStream;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lentilhinge.fleet.EndpointState;
import org.lentilhinge.fleet.FleetEndpoint;
import org.lentilhinge.forward.ForwardConfiguration;
import org.lentilhinge.forward.ForwardLimits;
import org.lentilhinge.identity.DeclaredVersion;
import org.lentilhinge.identity.StoreRevision;
import org.lentilhinge.overlay.HostHeartbeat;
import org.lentilhinge.overlay.HostRecord;
import org.lentilhinge.permit.EngineStatus;
import org.lentilhinge.published.AdapterRelease;
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
            new ForwardSettings.Bounds(8_000, 3_000, 0.2, 56, 10_000),
            Optional.empty());
    EventLog log = new EventLog(new PrintStream(PrintStream.nullOutputStream()), () -> 0);
    HostContext context = new HostContext(vertx, settings, () -> 100, log, new MetricRegistry());
    return new HostState(context, ForwardFixture.overlay(settings));
  }

  private static void receiveHeartbeat(HostState state, String zone, String region, int version) {
    HostRecord sender = new HostRecord("10.0.0.2", zone, region, 1, version, false);
    state.hosts().onMessage("10.0.0.2", new HostHeartbeat(sender, 0, true), 100);
  }

  private static ForwardConfiguration configuration(long version) {
    return new ForwardConfiguration(
        new DeclaredVersion(version, new StoreRevision(0, version)),
        List.of(),
        Map.of(),
        ForwardLimits.DEFAULT);
  }

  private static FleetEndpoint engine(String zone) {
    return new FleetEndpoint(
        "e-" + zone,
        1,
        "s",
        "10.0.9.9:80",
        zone,
        EndpointState.READY,
        0,
        new StoreRevision(0, 1),
        List.of("m"),
        "v1",
        6);
  }

  @Test
  public void configurationAndAdapterVersionsNeverDecrease() {
    HostState state = state();
    assertTrue(state.applyConfiguration(configuration(7)));
    assertFalse(state.applyConfiguration(configuration(3)));
    assertEquals(state.configuration().orElseThrow().version().number(), 7);
    assertTrue(state.recordRelease(new AdapterRelease("m", "a", 2)));
    assertFalse(state.recordRelease(new AdapterRelease("m", "a", 1)));
    assertEquals(state.adapterVersion("m", "a"), 2);
    assertEquals(state.adapterVersion("m", "other"), 0);
  }

  @Test
  public void hostInEngineZoneRunsSchedulerUntilAnotherAnnouncesOwnership() {
    HostState state = state();
    receiveHeartbeat(state, "b", "south", 1);
    assertEquals(state.schedulerHost(engine("a")), "10.0.0.1");
    assertEquals(state.schedulerHost(engine("b")), "10.0.0.2");
    EngineStatus status = new EngineStatus("e-a/1", true, List.of(), 0, 6, 0);
    state.engineSelector().updateStatus("10.0.0.2", status, 100);
    assertEquals(state.schedulerHost(engine("a")), "10.0.0.2");
  }

  @Test
  public void leavingHostIsNotSelected() {
    HostState state = state();
    receiveHeartbeat(state, "a", "north", 1);
    state.hosts().leave();
    assertEquals(state.schedulerHost(engine("a")), "10.0.0.2");
  }

  @Test
  public void disconnectedHostIsNotSelectedButKeepsItsRank() {
    HostState state = state();
    receiveHeartbeat(state, "b", "south", 1);
    state.hosts().markDisconnected("10.0.0.2");
    assertEquals(state.schedulerHost(engine("b")), "10.0.0.1");
    assertEquals(state.ownerRanking(engine("b")).get(0), "10.0.0.2");
    receiveHeartbeat(state, "b", "south", 1);
    assertEquals(state.schedulerHost(engine("b")), "10.0.0.2");
  }

  // A fencing token that is made from a restored revision must not be lower than earlier ones.
  @Test
  public void freshRevisionRisesAcrossRestoreOfTheStore() {
    HostState state = state();
    state.recordRevision(new StoreRevision(1, 500), 0);
    long former = state.freshRevision();
    state.recordRevision(new StoreRevision(2, 300), 0);
    long restored = state.freshRevision();
    assertTrue(restored > former, former + " " + restored);
    state.recordRevision(new StoreRevision(1, 510), 0);
    assertEquals(state.freshRevision(), restored);
  }

  // A response that had waited in a socket made an old revision count as fresh.
  @Test
  public void revisionIsAsOldAsItsRequest() {
    HostState state = state();
    state.recordRevision(new StoreRevision(0, 500), -1_950);
    assertEquals(state.freshRevision(), 0);
    state.recordRevision(new StoreRevision(0, 501), -1_850);
    assertEquals(state.freshRevision(), 501);
  }
}
