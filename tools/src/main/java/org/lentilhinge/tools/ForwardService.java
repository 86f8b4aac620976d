package org.lentilhinge.tools;

import com.codahale.metrics.MetricRegistry;
import io.reactivex.rxjava3.core.Scheduler;
import io.vavr.control.Either;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.rxjava3.ContextScheduler;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import org.lentilhinge.finding.Findings;
import org.lentilhinge.platform.WirePlatform;
import org.lentilhinge.runtime.forward.EventLog;
import org.lentilhinge.runtime.forward.ForwardHost;
import org.lentilhinge.runtime.forward.ForwardSettings;
import org.lentilhinge.runtime.forward.ForwardSettingsReader;
import org.lentilhinge.runtime.ini.IniReader;

/** Runs one host of the forwarding path until a stop is requested. */
final class ForwardService {

  private final Console console;
  private final StopSignal signal;

  ForwardService(Console console, StopSignal signal) {
    this.console = console;
    this.signal = signal;
  }

  int run(String file, String text) {
    Either<Findings, ForwardSettings> settings =
        new ForwardSettingsReader(new IniReader()).read(file, text);
    if (settings.isLeft()) {
      console.err().println(settings.getLeft());
      return ExitCode.REJECTED;
    }
    signal.arm();
    int exitCode = serve(file, settings.get());
    signal.finish(exitCode);
    return exitCode;
  }

  private int serve(String file, ForwardSettings settings) {
    VertxOptions options = new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1);
    Vertx vertx = Vertx.vertx(options);
    try {
      CompletableFuture<ForwardHost> started = new CompletableFuture<>();
      Context loop = vertx.getOrCreateContext();
      loop.runOnContext(unused -> start(vertx, loop, settings, started));
      ForwardHost host = started.join();
      HangupSignal.handle(() -> reload(file, host));
      signal.await();
      host.stop().toCompletionStage().toCompletableFuture().join();
      return ExitCode.DONE;
    } catch (CompletionException exception) {
      console.err().println("lentilhinge serve: cannot serve: " + exception.getCause());
      return ExitCode.UNAVAILABLE;
    }
  }

  private void reload(String file, ForwardHost host) {
    try {
      Either<Findings, ForwardSettings> settings =
          new ForwardSettingsReader(new IniReader()).read(file, Files.readString(Path.of(file)));
      settings.peek(host::reload);
      settings.peekLeft(findings -> console.err().println(findings));
    } catch (IOException exception) {
      console.err().println("lentilhinge serve: cannot reload: " + exception.getMessage());
    }
  }

  private void start(
      Vertx vertx, Context loop, ForwardSettings settings, CompletableFuture<ForwardHost> started) {
    try {
      Scheduler scheduler = new ContextScheduler(loop, false);
      ForwardHost host =
          new ForwardHost(
              vertx,
              loop,
              scheduler,
              settings,
              new WirePlatform(),
              new EventLog(console.out(), System::currentTimeMillis),
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
