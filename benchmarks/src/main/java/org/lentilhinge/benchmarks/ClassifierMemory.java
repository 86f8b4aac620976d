package org.lentilhinge.benchmarks;

import java.util.Locale;
import org.lentilhinge.configuration.Configuration;
import org.lentilhinge.routing.RequestClassifier;

/** Measures the heap usage of a configuration and of the classifier's index of it. */
public final class ClassifierMemory {

  private static final double MEBIBYTE = 1024.0 * 1024.0;
  private static final int COLLECTIONS = 4;

  private ClassifierMemory() {}

  /**
   * Runs the measurement for three numbers of adapters.
   *
   * @param arguments ignored
   */
  public static void main(String[] arguments) {
    for (int adapters : new int[] {3_000, 30_000, 180_000}) {
      long emptyBytes = usedBytes();
      Configuration configuration = SampleConfiguration.of(adapters, 168);
      long configuredBytes = usedBytes();
      RequestClassifier classifier = new RequestClassifier(configuration);
      long indexedBytes = usedBytes();
      System.out.printf(
          Locale.ROOT,
          "%d adapters: configuration %.2f MiB, classifier %.2f MiB (%s)%n",
          adapters,
          (configuredBytes - emptyBytes) / MEBIBYTE,
          (indexedBytes - configuredBytes) / MEBIBYTE,
          classifier.getClass().getSimpleName());
    }
  }

  private static long usedBytes() {
    for (int collection = 0; collection < COLLECTIONS; collection++) {
      System.gc();
    }
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }
}
