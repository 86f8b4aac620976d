package org.lentilhinge.runtime.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Vertx;
import java.io.PrintStream;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicLong;
import org.lentilhinge.fleet.EndpointState;
import org.lentilhinge.fleet.FleetEndpoint;
import org.lentilhinge.forward.EngineCapacity;
import org.lentilhinge.forward.ForwardConfiguration;
import org.lentilhinge.forward.ForwardLimits;
import org.lentilhinge.forward.ForwardService;
import org.lentilhinge.identity.DeclaredVersion;
import org.lentilhinge.identity.StoreRevision;
import org.lentilhinge.limit.EndpointLimit;
import org.lentilhinge.limit.RequestLimit;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Tests which endpoints are chosen while some of them state a request limit. */
public class EndpointChoiceTest {

  private static final EngineCapacity CAPACITY = new EngineCapacity(64, 100_000, 6, List.of("m"));

  private Vertx vertx;

  @BeforeClass
  public void start() {
    vertx = Vertx.vertx();
  }

  @AfterClass
  public void stop() {
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  /** A host with two engines, of which the first is nearer. */
  private final class Fixture {
    private final AtomicLong now = new AtomicLong(1_000);
    private final HostContext context =
        new HostContext(
            vertx,
            ForwardFixture.settings(),
            now::get,
            new EventLog(new PrintStream(PrintStream.nullOutputStream()), () -> 0),
            new MetricRegistry());
    private final HostState state =
        new HostState(context, ForwardFixture.overlay(ForwardFixture.settings()));

    private Fixture() {
      StoreRevision revision = new StoreRevision(1, 1);
      ForwardService service = new ForwardService("s", 100, Optional.of(CAPACITY));
      state.applyConfiguration(
          new ForwardConfiguration(
              new DeclaredVersion(1, revision),
              List.of(),
              Map.of("s", service),
              ForwardLimits.DEFAULT));
      state
          .endpoints()
          .updateFromListing(List.of(engine("near", "a"), engine("far", "b")), revision, 1_000);
    }

    private FleetEndpoint engine(String id, String zone) {
      return new FleetEndpoint(
          id,
          1,
          "s",
          "10.0.0.9:80",
          zone,
          EndpointState.READY,
          0,
          new StoreRevision(1, 1),
          List.of("m"),
          "v1",
          6);
    }

    private EndpointChoice choice() {
      return new EndpointChoice(
          state,
          context,
          "s",
          new RequestMetadata(
              Optional.of("r"),
              OptionalLong.empty(),
              Optional.empty(),
              Optional.empty(),
              Optional.empty(),
              List.of(),
              OptionalLong.empty()));
    }

    private void limit(String id) {
      state.limits().receive(new EndpointLimit(id + "/1", RequestLimit.ofRate(2)), now.get());
    }
  }

  private static String next(EndpointChoice choice) {
    return choice.next().map(FleetEndpoint::id).orElse("none");
  }

  // Each refusal by a limited engine cost one of the three permit requests and a round trip.
  @Test
  public void engineAtItsLimitIsNotAskedBeforeItsNextTurn() {
    Fixture fixture = new Fixture();
    fixture.limit("near");
    assertEquals(next(fixture.choice()), "near");
    fixture.state.limits().recordExhausted("near/1", 1_400);
    assertEquals(next(fixture.choice()), "far");
    fixture.now.set(1_400);
    assertEquals(next(fixture.choice()), "near");
  }

  @Test
  public void callerIsToldWhenTheNextTurnIsDue() {
    Fixture fixture = new Fixture();
    fixture.limit("near");
    fixture.limit("far");
    fixture.state.limits().recordExhausted("near/1", 1_900);
    fixture.state.limits().recordExhausted("far/1", 1_700);
    EndpointChoice choice = fixture.choice();
    assertEquals(next(choice), "none");
    assertEquals(choice.missingReason(), "endpoint-limit");
    assertTrue(choice.retryMillis().orElseThrow() >= 700);
  }
}
