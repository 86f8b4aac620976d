package org.lentilhinge.tools;

import com.codahale.metrics.MetricRegistry;
import io.reactivex.rxjava3.core.Scheduler;
import io.vavr.control.Either;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.rxjava3.ContextScheduler;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.lentilhinge.finding.Findings;
import org.lentilhinge.platform.WirePlatform;
import org.lentilhinge.runtime.forward.EventLog;
import org.lentilhinge.runtime.forward.ForwardHost;
import org.lentilhinge.runtime.forward.ForwardSettings;
import org.lentilhinge.runtime.forward.ForwardSettingsReader;
import org.lentilhinge.runtime.ini.IniReader;

/** Runs one host of the forwarding path until a stop is requested. */
final class ForwardService {

  /** The interval at which the settings file is read, in milliseconds; it may change silently. */
  private static final long SETTINGS_INTERVAL_MILLIS = 1_000;

  private final Console console;
  private final StopSignal signal;

  ForwardService(Console console, StopSignal signal) {
    this.console = console;
    this.signal = signal;
  }

  int run(String file, String text) {
    ForwardSettingsReader reader = new ForwardSettingsReader(new IniReader());
    Either<Findings, ForwardSettings> settings = reader.read(file, text);
    if (settings.isLeft()) {
      console.err().println(settings.getLeft());
      return ExitCode.REJECTED;
    }
    signal.arm();
    EventLog log = new EventLog(console.out(), System::currentTimeMillis);
    SettingsFile settingsFile = new SettingsFile(file, text, reader, log);
    int exitCode = serve(file, settingsFile, settings.get(), log);
    signal.finish(exitCode);
    return exitCode;
  }

  private int serve(
      String file, SettingsFile settingsFile, ForwardSettings settings, EventLog log) {
    VertxOptions options =
        new VertxOptions()
            .setEventLoopPoolSize(1)
            .setWorkerPoolSize(1)
            .setInternalBlockingPoolSize(1);
    Vertx vertx = Vertx.vertx(options);
    try {
      CompletableFuture<ForwardHost> started = new CompletableFuture<>();
      Context loop = vertx.getOrCreateContext();
      // The JVM ends at a SIGHUP for which no handler is installed.
      HangupSignal.handle(
          () ->
              started.thenAccept(
                  host ->
                      loop.runOnContext(
                          unused ->
                              read(vertx, file, settingsFile, settingsFile::onSignal, host))));
      loop.runOnContext(unused -> start(vertx, loop, settings, log, started));
      ForwardHost host = started.join();
      loop.runOnContext(
          unused ->
              vertx.setPeriodic(
                  SETTINGS_INTERVAL_MILLIS,
                  id -> read(vertx, file, settingsFile, settingsFile::onRead, host)));
      signal.await();
      host.stop().toCompletionStage().toCompletableFuture().join();
      return ExitCode.DONE;
    } catch (CompletionException exception) {
      console.err().println("lentilhinge serve: cannot serve: " + exception.getCause());
      return ExitCode.UNAVAILABLE;
    }
  }

  /** Reads the settings file on the event loop of the host, and applies what has changed. */
  private static void read(
      Vertx vertx,
      String file,
      SettingsFile settingsFile,
      Function<String, Optional<ForwardSettings>> handler,
      ForwardHost host) {
    vertx
        .fileSystem()
        .readFile(file)
        .onSuccess(
            buffer ->
                handler.apply(buffer.toString(StandardCharsets.UTF_8)).ifPresent(host::reload))
        .onFailure(settingsFile::onFailure);
  }

  private void start(
      Vertx vertx,
      Context loop,
      ForwardSettings settings,
      EventLog log,
      CompletableFuture<ForwardHost> started) {
    try {
      Scheduler scheduler = new ContextScheduler(loop, false);
      ForwardHost host =
          new ForwardHost(
              vertx,
              loop,
              scheduler,
              settings,
              new WirePlatform(),
              log,
              new MetricRegistry(),
              new ForwardHost.Clocks(
                  () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()),
                  System::currentTimeMillis),
              new Random());
      host.start()
          .onSuccess(unused -> started.complete(host))
          .onFailure(started::completeExceptionally);
    } catch (RuntimeException | LinkageError failure) {
      // The thread that waits for the start must receive the failure, or it would block forever.
      started.completeExceptionally(failure);
    }
  }
}
