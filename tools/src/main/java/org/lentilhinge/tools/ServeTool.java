package org.lentilhinge.tools;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import io.vavr.control.Either;
import io.vertx.core.Vertx;
import java.io.IOException;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.lentilhinge.finding.Findings;
import org.lentilhinge.runtime.decision.DecisionFormat;
import org.lentilhinge.runtime.decision.DecisionLog;
import org.lentilhinge.runtime.decision.JsonFormat;
import org.lentilhinge.runtime.decision.KeyValueFormat;
import org.lentilhinge.runtime.forward.ForwardSettingsReader;
import org.lentilhinge.runtime.host.EntryHostServer;
import org.lentilhinge.runtime.host.HostEnvironment;
import org.lentilhinge.runtime.ini.IniReader;
import org.lentilhinge.runtime.settings.LogFormat;
import org.lentilhinge.runtime.settings.Settings;
import org.lentilhinge.runtime.settings.SettingsReader;

/** Runs one entry host until a stop is requested. */
public final class ServeTool extends CommandLineTool {

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
  private static final String SETTINGS = "settings";

  private final StopSignal signal;

  /**
   * Creates the tool.
   *
   * @param console the output streams
   * @param signal the signal to stop
   */
  public ServeTool(Console console, StopSignal signal) {
    super("serve", "Runs one entry host until SIGTERM, which is a planned stop.", "", console);
    this.signal = signal;
  }

  @Override
  void addOptions(Options options) {
    options.addOption(
        Option.builder()
            .longOpt(SETTINGS)
            .hasArg()
            .argName("FILE")
            .desc("the host's settings (required)")
            .get());
  }

  @Override
  int run(CommandLine line) throws IOException, ParseException {
    String file = line.getOptionValue(SETTINGS);
    if (file == null) {
      throw new ParseException("--settings is missing");
    }
    String text = read(file);
    if (ForwardSettingsReader.isForwarding(text)) {
      return new ForwardService(console(), signal).run(file, text);
    }
    Either<Findings, Settings> settings = new SettingsReader(new IniReader()).read(file, text);
    if (settings.isLeft()) {
      console().err().println(settings.getLeft());
      return reportFailure(ExitCode.REJECTED, file + " is refused");
    }
    LogSetup.apply(settings.get().log());
    signal.arm();
    int exitCode = serve(settings.get());
    signal.finish(exitCode);
    return exitCode;
  }

  private int serve(Settings settings) {
    Vertx vertx = Vertx.vertx();
    try {
      EntryHostServer server =
          EntryHostServer.start(settings, environment(vertx, settings)).blockingGet();
      LOGGER.atInfo().log(
          "host %s serves callers on port %d and peers on port %d",
          server.host(), server.gatewayPort(), server.peerPort());
      signal.await();
      LOGGER.atInfo().log("host %s begins a planned stop", server.host());
      server.stop().blockingAwait();
      LOGGER.atInfo().log("host %s has stopped", server.host());
      return ExitCode.DONE;
    } catch (RuntimeException exception) {
      Throwable cause = exception.getCause() == null ? exception : exception.getCause();
      return reportFailure(ExitCode.UNAVAILABLE, "cannot serve: " + cause.getMessage());
    } finally {
      vertx.close().toCompletionStage().toCompletableFuture().join();
    }
  }

  private static HostEnvironment environment(Vertx vertx, Settings settings) {
    DecisionFormat format =
        settings.log().format() == LogFormat.JSON ? new JsonFormat() : new KeyValueFormat();
    return HostEnvironment.withSystemClocks(
        vertx, new MetricRegistry(), DecisionLog.flogger(format));
  }
}
