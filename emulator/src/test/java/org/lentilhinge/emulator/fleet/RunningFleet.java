package org.lentilhinge.emulator.fleet;

import io.vertx.core.Vertx;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.lentilhinge.runtime.decision.DecisionLog;
import org.lentilhinge.runtime.decision.KeyValueFormat;
import org.lentilhinge.runtime.host.EntryHostServer;

/** A loopback fleet whose hosts are all ready, with the fleet's decision log. */
final class RunningFleet {

  private final List<String> logLines = new CopyOnWriteArrayList<>();
  private final Vertx vertx = Vertx.vertx();
  private final LoopbackFleet fleet =
      new LoopbackFleet(
          vertx, FleetSettings.DEFAULT, new DecisionLog(new KeyValueFormat(), logLines::add));

  static RunningFleet start(FleetClient client) throws Exception {
    RunningFleet running = new RunningFleet();
    running.fleet.start();
    for (EntryHostServer host : running.fleet.hosts()) {
      FleetWait.until("ready " + host.host(), () -> client.isReady(host.gatewayPort()));
    }
    return running;
  }

  LoopbackFleet fleet() {
    return fleet;
  }

  String log() {
    return String.join("\n", logLines);
  }

  void stop() {
    fleet.stop();
    vertx.close();
  }
}
