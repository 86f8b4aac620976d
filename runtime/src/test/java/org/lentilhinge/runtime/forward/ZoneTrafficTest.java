package org.lentilhinge.runtime.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertSame;
import static org.testng.Assert.assertTrue;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Vertx;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.lentilhinge.fleet.EndpointState;
import org.lentilhinge.fleet.FleetEndpoint;
import org.lentilhinge.forward.EngineCapacity;
import org.lentilhinge.forward.ForwardConfiguration;
import org.lentilhinge.forward.ForwardLimits;
import org.lentilhinge.forward.ForwardService;
import org.lentilhinge.identity.DeclaredVersion;
import org.lentilhinge.identity.StoreRevision;
import org.lentilhinge.permit.EngineStatus;
import org.lentilhinge.zone.RequestZones;
import org.lentilhinge.zone.ZoneTrafficSettings;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Tests the choice of endpoints with and without planned traffic between zones. */
public class ZoneTrafficTest {

  private static final StoreRevision REVISION = new StoreRevision(1, 1);

  private Vertx vertx;

  @BeforeClass
  public void start() {
    vertx = Vertx.vertx();
  }

  @AfterClass
  public void stop() {
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  /** A host of the zone a with an engine in its own zone and one in the zone b. */
  private final class Fixture {
    private final AtomicLong now = new AtomicLong(1_000);
    private final BlockingQueue<String> log = new LinkedBlockingQueue<>();
    private final HostContext context;
    private final HostState state;
    private int requests;

    private Fixture(ForwardSettings settings) {
      context =
          new HostContext(
              vertx, settings, now::get, new EventLog(printer(), () -> 0), new MetricRegistry());
      state = new HostState(context, ForwardFixture.overlay(settings));
      EngineCapacity capacity = new EngineCapacity(64, 100_000, 6, List.of("m"));
      ForwardService service = new ForwardService("s", 100, Optional.of(capacity));
      state.applyConfiguration(
          new ForwardConfiguration(
              new DeclaredVersion(1, REVISION),
              List.of(),
              Map.of("s", service),
              ForwardLimits.DEFAULT));
      state
          .endpoints()
          .updateFromListing(List.of(engine("near", "a"), engine("far", "b")), REVISION, 1_000);
    }

    private PrintStream printer() {
      return new PrintStream(PrintStream.nullOutputStream()) {
        @Override
        public void print(Object text) {
          log.add(text.toString());
        }
      };
    }

    private FleetEndpoint engine(String id, String zone) {
      return new FleetEndpoint(
          id, 1, "s", "10.0.0.9:80", zone, EndpointState.READY, 0, REVISION, List.of("m"), "v1", 6);
    }

    private void updateStatus(String id, long backlogMillis) {
      EngineStatus status = new EngineStatus(id + "/1", true, List.of("x"), backlogMillis, 3, 0);
      state.engineSelector().updateStatus("h", status, now.get());
    }

    private String choose() {
      RequestMetadata request = request("r" + requests++);
      return new EndpointChoice(state, context, "s", request).next().orElseThrow().id();
    }

    private List<String> choose(int count) {
      List<String> chosen = new ArrayList<>();
      for (int index = 0; index < count; index++) {
        chosen.add(choose());
      }
      return chosen;
    }

    private long counted(String reason) {
      return context.metrics().counter("forward.zone.a." + reason).getCount();
    }
  }

  private static ForwardSettings planned() {
    return ForwardFixture.settings().withZoneTraffic(ZoneTrafficSettings.FREE_UNBOUNDED);
  }

  @Test
  public void withoutTheSectionTheFormerCostsApply() {
    Fixture fixture = new Fixture(ForwardFixture.settings());
    for (int connection = 0; connection < 5; connection++) {
      fixture.state.zoneTraffic().recordConnect(fixture.engine("far", "b"), 700, true);
    }
    RequestMetadata request = request("r");
    assertSame(
        fixture.state.zoneTraffic().choice("s", true, request, 1).zones(),
        fixture.state.distances());
    fixture.updateStatus("near", 11);
    fixture.updateStatus("far", 0);
    assertEquals(fixture.choose(), "far");
    assertTrue(fixture.context.metrics().getCounters().isEmpty());
  }

  @Test
  public void requestsLeaveWhenTheOwnZoneIsShort() throws InterruptedException {
    Fixture fixture = new Fixture(planned());
    fixture.updateStatus("near", 45);
    fixture.updateStatus("far", 0);
    assertFalse(fixture.choose(50).contains("far"));
    for (int step = 0; step < 5; step++) {
      fixture.now.addAndGet(200);
      fixture.updateStatus("near", 300);
      fixture.updateStatus("far", 0);
      fixture.choose();
    }
    List<String> chosen = fixture.choose(100);
    assertTrue(chosen.contains("far") && chosen.contains("near"), chosen.toString());
    assertEquals(fixture.counted("a.near") + fixture.counted("b.overflow"), 155);
    assertTrue(fixture.counted("b.overflow") > 0);
    String line = String.valueOf(fixture.log.poll(10, TimeUnit.SECONDS));
    assertTrue(line.contains("event=zone-traffic service=s from=a to=b share=0."), line);
  }

  @Test
  public void nothingLeavesForZoneWhoseConnectionsFail() {
    Fixture fixture = new Fixture(planned());
    for (int step = 0; step < 5; step++) {
      fixture.now.addAndGet(200);
      fixture.updateStatus("near", 300);
      fixture.updateStatus("far", 0);
      fixture.choose();
    }
    assertTrue(fixture.choose(100).contains("far"));
    fixture.state.zoneTraffic().recordConnect(fixture.engine("far", "b"), 0, false);
    fixture.state.zoneTraffic().recordConnect(fixture.engine("other", "b"), 0, false);
    assertFalse(fixture.choose(100).contains("far"));
  }

  // Each choice was charged, also when no permit arrived and the request was sent elsewhere.
  @Test
  public void onlyRequestsThatAreSentUseTheBandwidth() {
    ZoneTrafficSettings terms = new ZoneTrafficSettings(0, 0, 40, 0.1);
    Fixture fixture = new Fixture(ForwardFixture.settings().withZoneTraffic(terms));
    FleetEndpoint near = fixture.engine("near", "a");
    FleetEndpoint far = fixture.engine("far", "other-region");
    fixture.state.endpoints().updateFromListing(List.of(near, far), REVISION, 1_000);
    fixture.now.addAndGet(1);
    EndpointChoice choice = new EndpointChoice(fixture.state, fixture.context, "s", request("r"));
    choice.exclude(near);
    assertEquals(choice.next().orElseThrow().id(), "far");
    assertTrue(mayLeave(fixture, near, far));
    choice.sendCheck().recordSent(far);
    assertFalse(mayLeave(fixture, near, far));
  }

  private static boolean mayLeave(Fixture fixture, FleetEndpoint near, FleetEndpoint far) {
    RequestZones zones =
        (RequestZones) fixture.state.zoneTraffic().choice("s", true, request("r"), 1).zones();
    return zones.permitted(List.of(near, far), Set.of(), far::equals).contains(far);
  }

  private static RequestMetadata request(String id) {
    return new RequestMetadata(
        Optional.of(id),
        OptionalLong.empty(),
        Optional.empty(),
        Optional.empty(),
        Optional.empty(),
        List.of(),
        OptionalLong.empty());
  }
}
