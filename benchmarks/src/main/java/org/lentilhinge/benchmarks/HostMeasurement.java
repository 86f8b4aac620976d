package org.lentilhinge.benchmarks;

import java.lang.management.ManagementFactory;
import java.util.Locale;
import java.util.Map;

/**
 * Measures the control overhead of an entry host in zones of several sizes, under load: messages
 * and bytes per second, processor time and heap.
 */
public final class HostMeasurement {

  private static final long WARM_UP_MILLIS = 150_000;
  private static final long MEASURED_MILLIS = 30_000;
  private static final double REQUESTS_PER_SECOND = 26.0;
  private static final int LOADED_ADAPTERS_PER_ENGINE = 28;

  private HostMeasurement() {}

  /**
   * Prints a table for three sizes of the zone, with few adapter loads and with as many loads as
   * the store allows.
   *
   * @param arguments ignored
   */
  public static void main(String[] arguments) {
    System.out.println("Adapters that fit into the slots and are loaded from the start:");
    measure(3, 23, 23 * LOADED_ADAPTERS_PER_ENGINE, true);
    measure(10, 76, 76 * LOADED_ADAPTERS_PER_ENGINE, true);
    measure(22, 168, 168 * LOADED_ADAPTERS_PER_ENGINE, true);
    System.out.println("Nearly twice as many adapters as slots, 10 loads per second in the zone:");
    measure(3, 23, 1_300, false);
    measure(10, 76, 4_000, false);
    measure(22, 168, 9_500, false);
  }

  private static void measure(int hosts, int engines, int adapters, boolean loaded) {
    long heapBefore = usedHeap();
    MeasuredHosts zone = new MeasuredHosts(hosts, engines, adapters, REQUESTS_PER_SECOND, loaded);
    zone.run(WARM_UP_MILLIS);
    long dispatchedBefore = zone.dispatched();
    long refusedBefore = zone.refused();
    long processorBefore = processorNanos();
    Map<String, long[]> traffic = zone.run(MEASURED_MILLIS);
    long processorMicros = (processorNanos() - processorBefore) / 1_000;
    long heapBytes = usedHeap() - heapBefore;
    double hostSeconds = hosts * MEASURED_MILLIS / 1_000.0;
    System.out.printf(
        Locale.ROOT,
        "%d hosts, %d engines, %d adapters: %d requests dispatched, %d refused%n",
        hosts,
        engines,
        adapters,
        zone.dispatched() - dispatchedBefore,
        zone.refused() - refusedBefore);
    double messages = 0;
    double bytes = 0;
    for (Map.Entry<String, long[]> entry : traffic.entrySet()) {
      messages += entry.getValue()[0];
      bytes += entry.getValue()[1];
      System.out.printf(
          Locale.ROOT,
          "  %-22s %8.2f/s %9.1f B/s%n",
          entry.getKey(),
          entry.getValue()[0] / hostSeconds,
          entry.getValue()[1] / hostSeconds);
    }
    System.out.printf(
        Locale.ROOT,
        "  %-22s %8.2f/s %9.1f B/s per host; processor %.0f us/s per host; heap %d KB per host%n",
        "sum",
        messages / hostSeconds,
        bytes / hostSeconds,
        processorMicros / hostSeconds,
        heapBytes / hosts / 1_024);
    zone.run(0);
  }

  private static long processorNanos() {
    return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
  }

  private static long usedHeap() {
    System.gc();
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }
}
