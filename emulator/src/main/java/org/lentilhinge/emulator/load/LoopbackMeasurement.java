package org.lentilhinge.emulator.load;

import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.util.Locale;
import org.lentilhinge.emulator.engine.FixedDelayStepTimer;
import org.lentilhinge.runtime.decision.DecisionLog;
import org.lentilhinge.runtime.decision.KeyValueFormat;

/**
 * Measures the latency and processor time that one entry host adds to a call of the emulated
 * engine: runs the same load once against the engine and once through the gateway, in one process
 * on loopback ports.
 */
public final class LoopbackMeasurement {

  private static final double BYTES_PER_MEGABYTE = 1_000_000.0;
  private static final int ROUNDS = 3;
  private static final long NANOS_PER_MICROSECOND = 1_000;
  private static final String MODEL = "drains-sofia@3";

  private LoopbackMeasurement() {}

  /**
   * Runs the measurement and prints the results.
   *
   * @param arguments the number of measured requests, the concurrency, the tokens of a response and
   *     the duration of an engine's step in milliseconds
   */
  public static void main(String[] arguments) {
    int requests = Integer.parseInt(arguments[0]);
    LoadSettings load =
        new LoadSettings(
            requests, requests / 2, Integer.parseInt(arguments[1]), Integer.parseInt(arguments[2]));
    Vertx vertx = Vertx.vertx();
    LoopbackHost host =
        new LoopbackHost(
            vertx,
            LoopbackSettings.DEFAULT.withBatchSlots(load.concurrency()),
            new FixedDelayStepTimer(vertx, Long.parseLong(arguments[3])),
            new DecisionLog(new KeyValueFormat(), line -> {}));
    host.start();
    for (int round = 0; round < ROUNDS; round++) {
      measure("gateway", new LoadGenerator(vertx, gateway(host, load), load));
      measure("engine", new LoadGenerator(vertx, engine(host, load), load));
    }
    System.gc();
    long heapBytes = ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    System.out.printf(
        Locale.ROOT, "heap after collection %.1f MB%n", heapBytes / BYTES_PER_MEGABYTE);
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  private static LoadTarget gateway(LoopbackHost host, LoadSettings load) {
    return new LoadTarget(
        host.port(),
        "/v1/completions",
        MultiMap.caseInsensitiveMultiMap().add("Authorization", "Bearer " + LoopbackHost.WATER_KEY),
        body("reports", load));
  }

  private static LoadTarget engine(LoopbackHost host, LoadSettings load) {
    return new LoadTarget(
        host.enginePort(0),
        "/v1/completions",
        MultiMap.caseInsensitiveMultiMap().add("X-Request-Id", "direct/1/1/1"),
        body(MODEL, load));
  }

  private static JsonObject body(String model, LoadSettings load) {
    return new JsonObject()
        .put("model", model)
        .put("stream", true)
        .put("min_tokens", load.tokens())
        .put("max_tokens", load.tokens())
        .put("prompt", "Camera found a crack at 12 m, joint displaced.");
  }

  /** Runs a load and prints the report and the processor time of the entire process per request. */
  private static void measure(String name, LoadGenerator generator) {
    generator.warmUp().blockingGet();
    Duration before = processorTime();
    LoadReport report = generator.run().blockingGet();
    long processorMicros = processorTime().minus(before).toNanos() / NANOS_PER_MICROSECOND;
    System.out.printf(
        Locale.ROOT,
        "%-8s requests %d failures %d rate %.0f/s first byte p50 %d us p99 %d us"
            + " whole p50 %d us p99 %d us processor %d us per request%n",
        name,
        report.completedRequests(),
        report.failedRequests(),
        report.requestsPerSecond(),
        report.firstByteMedianMicros(),
        report.firstByteP99Micros(),
        report.responseMedianMicros(),
        report.responseP99Micros(),
        processorMicros / report.completedRequests());
  }

  private static Duration processorTime() {
    return ProcessHandle.current().info().totalCpuDuration().orElse(Duration.ZERO);
  }
}
