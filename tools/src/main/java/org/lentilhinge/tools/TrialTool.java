package org.lentilhinge.tools;

import io.reactivex.rxjava3.core.Completable;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.io.PrintStream;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.lentilhinge.emulator.engine.EngineServer;
import org.lentilhinge.emulator.fleet.FleetSettings;
import org.lentilhinge.emulator.fleet.LoopbackFleet;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.runtime.decision.DecisionLog;
import org.lentilhinge.runtime.decision.KeyValueFormat;
import org.lentilhinge.runtime.host.EntryHostServer;
import org.lentilhinge.runtime.settings.LogFormat;
import org.lentilhinge.runtime.settings.LogLevel;
import org.lentilhinge.runtime.settings.LogSettings;

/**
 * Runs entry hosts with emulated engines, service and platform on loopback, and sends one question
 * and one repeated booking through them.
 */
public final class TrialTool extends CommandLineTool {

  private static final String SERVE = "serve";
  private static final String PORT = "port";
  private static final String DEFAULT_PORT = "8080";
  private static final int MAXIMUM_PORT = 65_000;
  private static final int MAXIMUM_TOKENS = 12;
  private static final String QUESTION = "Crack at 12 m, roots at 14 m: what class of defect?";

  private final StopSignal signal;

  /**
   * Creates the tool.
   *
   * @param console the output streams
   * @param signal the signal to stop serving
   */
  public TrialTool(Console console, StopSignal signal) {
    super(
        "trial",
        "Runs a small system on loopback, sends a question and books an order.",
        "",
        console);
    this.signal = signal;
  }

  @Override
  void addOptions(Options options) {
    options.addOption(
        Option.builder()
            .longOpt(SERVE)
            .desc("keep serving until SIGTERM and print curl commands")
            .get());
    options.addOption(
        Option.builder()
            .longOpt(PORT)
            .hasArg()
            .argName("NUMBER")
            .desc("with --serve, the first host's port; the others follow (default: 8080)")
            .get());
  }

  @Override
  int run(CommandLine line) throws IOException, ParseException {
    boolean serving = line.hasOption(SERVE);
    FleetSettings settings = FleetSettings.DEFAULT;
    if (serving) {
      settings = settings.withFirstGatewayPort(port(line.getOptionValue(PORT, DEFAULT_PORT)));
    }
    LogSetup.apply(new LogSettings(LogFormat.TEXT, LogLevel.WARNING));
    Vertx vertx = Vertx.vertx();
    try {
      return run(vertx, settings, serving);
    } catch (RuntimeException exception) {
      Throwable cause = exception.getCause() == null ? exception : exception.getCause();
      return reportFailure(ExitCode.UNAVAILABLE, cause.getMessage());
    } finally {
      vertx.close().toCompletionStage().toCompletableFuture().join();
    }
  }

  private static int port(String value) throws ParseException {
    try {
      int port = Integer.parseInt(value);
      if (port >= 1 && port <= MAXIMUM_PORT) {
        return port;
      }
    } catch (NumberFormatException exception) {
      // Reported below, like a number that is out of range.
    }
    throw new ParseException("--port is not a number from 1 to " + MAXIMUM_PORT + ": " + value);
  }

  private int run(Vertx vertx, FleetSettings settings, boolean serving) throws IOException {
    PrintStream out = console().out();
    AtomicInteger decisions = new AtomicInteger();
    DecisionLog log =
        new DecisionLog(
            new KeyValueFormat(),
            decision -> {
              decisions.incrementAndGet();
              out.println("  decision " + decision);
            });
    LoopbackFleet fleet = new LoopbackFleet(vertx, settings, log);
    out.println("Starting emulators and entry hosts on loopback ports...");
    fleet.start();
    try {
      runScenario(fleet, new TrialClient(vertx));
      summarize(fleet, decisions.get());
      if (serving) {
        signal.arm();
        printCurlCommands(fleet.hosts());
        signal.await();
        performPlannedStop(fleet);
        signal.finish(ExitCode.DONE);
      }
      return ExitCode.DONE;
    } finally {
      fleet.stop();
    }
  }

  private void runScenario(LoopbackFleet fleet, TrialClient client) throws IOException {
    PrintStream out = console().out();
    for (EntryHostServer host : fleet.hosts()) {
      client.awaitReady(host.gatewayPort());
      out.println("  " + host.host() + " is ready on port " + host.gatewayPort());
    }
    EntryHostServer first = fleet.hosts().get(0);
    EntryHostServer last = fleet.hosts().get(fleet.hosts().size() - 1);
    out.println("Sending to " + first.host() + ": " + QUESTION);
    StringBuilder response = new StringBuilder();
    client.streamCompletion(
        first.gatewayPort(),
        "survey",
        MAXIMUM_TOKENS,
        QUESTION,
        token -> print(token, response, out));
    out.println("Answer: " + response);
    JsonObject order = new JsonObject().put("street", "Vitosha 12");
    String ticket = client.requestTicket(first.gatewayPort());
    out.println("Booking through " + first.host() + " with the key " + ticket);
    out.println("  " + client.bookOrder(first.gatewayPort(), ticket, order));
    out.println("Repeating the booking through " + last.host());
    out.println("  " + client.bookOrder(last.gatewayPort(), ticket, order));
    out.println("The service ran it " + fleet.service().executions(ticket) + " time(s).");
  }

  private static void print(String token, StringBuilder response, PrintStream out) {
    response.append(token);
    out.println("  token " + token.strip());
  }

  private void summarize(LoopbackFleet fleet, int decisions) {
    int loads = 0;
    int violations = 0;
    for (EngineServer engine : fleet.engines()) {
      loads += engine.statistics().loads();
      violations += engine.statistics().unloadsInUse();
    }
    console()
        .out()
        .printf(
            "Summary: %d entry hosts, %d engines, %d decisions, %d adapter loads, %d bookings run,"
                + " %d requests on a wrong or evicted adapter.%n",
            fleet.hosts().size(),
            fleet.engines().size(),
            decisions,
            loads,
            fleet.service().executions(),
            violations);
  }

  private void printCurlCommands(List<EntryHostServer> hosts) {
    String first = "http://127.0.0.1:" + hosts.get(0).gatewayPort();
    String second = "http://127.0.0.1:" + hosts.get(1).gatewayPort();
    String key = " -H 'Authorization: Bearer " + LoopbackFleet.SURVEY_KEY + "'";
    String json = " -H 'Content-Type: application/json'";
    PrintStream out = console().out();
    out.println("Serving until SIGTERM or Ctrl-C. Try:");
    out.println(
        "curl -N "
            + first
            + "/v1/chat/completions"
            + key
            + json
            + " -d '{\"model\":\"survey\",\"stream\":true,\"max_tokens\":12,"
            + "\"messages\":[{\"role\":\"user\",\"content\":\"Crack at 12 m\"}]}'");
    out.println("curl -X POST " + first + "/tickets" + key);
    out.println(
        "curl "
            + second
            + "/services/work-orders/orders"
            + key
            + json
            + " -H 'Idempotency-Key: THE-TICKET' -d '{\"street\":\"Vitosha 12\"}'");
    out.println("curl " + first + "/status");
    out.println("curl " + first + "/metrics");
  }

  private void performPlannedStop(LoopbackFleet fleet) {
    console().out().println("Beginning a planned stop...");
    List<HostId> hosts = fleet.hosts().stream().map(EntryHostServer::host).toList();
    Completable.merge(hosts.stream().map(fleet::stop).toList()).blockingAwait();
    console().out().println("Stopped.");
  }
}
