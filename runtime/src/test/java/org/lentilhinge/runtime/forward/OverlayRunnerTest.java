package org.lentilhinge.runtime.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Vertx;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.identity.HostIncarnation;
import org.lentilhinge.overlay.HostGossip;
import org.lentilhinge.overlay.HostHeartbeat;
import org.lentilhinge.overlay.HostOverlay;
import org.lentilhinge.overlay.HostRecord;
import org.lentilhinge.overlay.HostSuspicion;
import org.lentilhinge.runtime.peer.LinkChange;
import org.lentilhinge.runtime.peer.LinkFailure;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Tests what a host concludes from lost links and from the membership. */
public class OverlayRunnerTest {

  private static final String OTHER = "10.0.0.2";

  private Vertx vertx;

  @BeforeClass
  public void start() {
    vertx = Vertx.vertx();
  }

  @AfterClass
  public void close() {
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  /** A host that has heard from one other host, and what it concluded. */
  private final class Fixture implements OverlayRunner.Listener {

    private final AtomicLong now = new AtomicLong(1_000);
    private final List<String> conclusions = new ArrayList<>();
    private final HostOverlay overlay = ForwardFixture.overlay(ForwardFixture.settings());
    private final OverlayRunner runner =
        new OverlayRunner(
            new HostContext(
                vertx,
                ForwardFixture.settings(),
                now::get,
                new EventLog(new PrintStream(PrintStream.nullOutputStream()), () -> 0),
                new MetricRegistry()),
            overlay,
            addresses -> {},
            (host, message) -> {},
            this);

    Fixture() {
      receiveHeartbeat(1);
    }

    private void receiveHeartbeat(long life) {
      HostRecord sender = new HostRecord(OTHER, "a", "north", life, life, false);
      runner.receive(OTHER, new HostHeartbeat(sender, 0, true));
    }

    private void loseLink(LinkFailure failure) {
      HostIncarnation peer = new HostIncarnation(new HostId(OTHER), 1);
      runner.onLinkChange(new LinkChange(peer, false, failure));
    }

    @Override
    public void onLeaving(String host) {
      conclusions.add("leaving " + host);
    }

    @Override
    public void onProcessEnded(String host) {
      conclusions.add("process ended " + host);
    }

    @Override
    public void onUnresponsive(String host) {
      conclusions.add("unresponsive " + host);
    }

    @Override
    public void onEnded(String host) {
      conclusions.add("ended " + host);
    }
  }

  @Test
  public void resetLinkDoesNotEndHostThatMayStillOwnEngines() {
    Fixture fixture = new Fixture();
    fixture.loseLink(LinkFailure.CLOSED);
    assertEquals(fixture.conclusions, List.of("unresponsive " + OTHER));
    assertFalse(fixture.overlay.isConnected(OTHER));
  }

  @Test
  public void endOfIdleLinkSaysNothing() {
    Fixture fixture = new Fixture();
    fixture.loseLink(LinkFailure.IDLE);
    assertEquals(fixture.conclusions, List.of());
    assertTrue(fixture.overlay.isConnected(OTHER));
  }

  @Test
  public void suspectedHostIsNotWaitedForAndEndsOnlyWhenLost() {
    Fixture fixture = new Fixture();
    HostSuspicion suspicion = new HostSuspicion(OTHER, 1);
    fixture.runner.receive("10.0.0.3", new HostGossip(List.of(), List.of(suspicion)));
    assertEquals(fixture.conclusions, List.of("unresponsive " + OTHER));
    for (int tick = 0; tick < 20; tick++) {
      fixture.now.addAndGet(50);
      fixture.runner.tick();
    }
    assertEquals(fixture.conclusions, List.of("unresponsive " + OTHER, "ended " + OTHER));
  }

  @Test
  public void restartedHostHasEnded() {
    Fixture fixture = new Fixture();
    fixture.receiveHeartbeat(2);
    assertEquals(fixture.conclusions, List.of("process ended " + OTHER, "ended " + OTHER));
  }
}
