package org.lentilhinge.tools;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.lentilhinge.emulator.fleet.FleetSettings;
import org.lentilhinge.emulator.fleet.LoopbackFleet;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.identity.ZoneId;
import org.lentilhinge.membership.ListedHost;
import org.lentilhinge.runtime.decision.DecisionLog;
import org.lentilhinge.runtime.decision.KeyValueFormat;
import org.lentilhinge.runtime.engine.Addresses;

/**
 * Runs only the emulated engines, service and platform, for entry hosts that run as separate
 * processes.
 */
public final class EmulateTool extends CommandLineTool {

  private static final String HOST = "host";
  private static final String CONFIGURATION = "configuration";
  private static final int HOST_FIELDS = 3;
  private static final long POLL_INTERVAL_MILLIS = 500;

  private final StopSignal signal;

  /**
   * Creates the tool.
   *
   * @param console the output streams
   * @param signal the signal to stop
   */
  public EmulateTool(Console console, StopSignal signal) {
    super(
        "emulate",
        "Runs emulated engines, a service and the platform for hosts that are started separately.",
        "",
        console);
    this.signal = signal;
  }

  @Override
  void addOptions(Options options) {
    options.addOption(
        Option.builder()
            .longOpt(HOST)
            .hasArg()
            .argName("NAME,ZONE,IP:PORT")
            .desc("an entry host to list, with its peer address; may be repeated")
            .get());
    options.addOption(
        Option.builder()
            .longOpt(CONFIGURATION)
            .hasArg()
            .argName("FILE")
            .desc("publish this file whenever it changes; created if it does not exist")
            .get());
  }

  @Override
  int run(CommandLine line) throws IOException, ParseException {
    List<ListedHost> hosts = new ArrayList<>();
    for (String value : hostValues(line)) {
      hosts.add(parseHost(value));
    }
    Vertx vertx = Vertx.vertx();
    FleetSettings defaults = FleetSettings.DEFAULT;
    FleetSettings settings =
        new FleetSettings(
            Map.of(), defaults.stepMillis(), defaults.loadMillis(), defaults.drainMillis(), 0);
    DecisionLog log = new DecisionLog(new KeyValueFormat(), console().out()::println);
    LoopbackFleet fleet = new LoopbackFleet(vertx, settings, log);
    try {
      signal.arm();
      fleet.start();
      fleet.publishHosts(hosts);
      if (line.hasOption(CONFIGURATION)) {
        publishOnChange(vertx, fleet, Path.of(line.getOptionValue(CONFIGURATION)));
      }
      printSettings(fleet);
      signal.await();
      fleet.stop();
      signal.finish(ExitCode.DONE);
      return ExitCode.DONE;
    } finally {
      vertx.close().toCompletionStage().toCompletableFuture().join();
    }
  }

  private static String[] hostValues(CommandLine line) {
    return line.hasOption(HOST) ? line.getOptionValues(HOST) : new String[0];
  }

  private static ListedHost parseHost(String value) throws ParseException {
    String[] fields = value.split(",");
    try {
      if (fields.length == HOST_FIELDS) {
        Addresses.parse(fields[2]);
        return new ListedHost(new HostId(fields[0]), new ZoneId(fields[1]), fields[2], false);
      }
    } catch (IllegalArgumentException exception) {
      throw new ParseException("--host " + value + ": " + exception.getMessage());
    }
    throw new ParseException("--host is not NAME,ZONE,IP:PORT: " + value);
  }

  /** Publishes a file immediately and whenever its text changes. */
  private void publishOnChange(Vertx vertx, LoopbackFleet fleet, Path file) throws IOException {
    if (Files.exists(file)) {
      fleet.publish(Files.readString(file));
    } else {
      Files.writeString(file, fleet.configuration());
    }
    vertx.setPeriodic(POLL_INTERVAL_MILLIS, ignored -> publishIfChanged(fleet, file));
  }

  private void publishIfChanged(LoopbackFleet fleet, Path file) {
    try {
      String text = Files.readString(file);
      if (!text.equals(fleet.configuration())) {
        fleet.publish(text);
        console().out().println("published " + file);
        console().out().flush();
      }
    } catch (IOException exception) {
      console().err().println("lentilhinge emulate: " + exception.getMessage());
    }
  }

  private void printSettings(LoopbackFleet fleet) {
    console().out().println("[platform]");
    console().out().println("configuration-service = " + fleet.configurationAddress());
    console().out().println("host-list = " + fleet.hostListAddress());
    console().out().flush();
  }
}
