package org.lentilhinge.tools;

import java.util.concurrent.CountDownLatch;

/** Waits for a request to stop, and delays the end of the process until the stop has finished. */
public final class StopSignal {

  private final CountDownLatch requested = new CountDownLatch(1);
  private final CountDownLatch finished = new CountDownLatch(1);
  private volatile int exitCode;

  private final boolean endsProcess;

  private StopSignal(boolean endsProcess) {
    this.endsProcess = endsProcess;
  }

  /**
   * Creates a signal that only {@link #request()} triggers.
   *
   * @return the signal
   */
  public static StopSignal onRequest() {
    return new StopSignal(false);
  }

  /**
   * Creates a signal that SIGTERM and SIGINT trigger once it is armed.
   *
   * @return the signal
   */
  public static StopSignal onProcessSignal() {
    return new StopSignal(true);
  }

  /**
   * Handles SIGTERM and SIGINT if this is a signal of the process: both request the stop, and the
   * process ends only after {@link #finish} has been called.
   */
  public void arm() {
    if (endsProcess) {
      Runtime.getRuntime().addShutdownHook(new Thread(this::endProcess, "planned-stop"));
    }
  }

  /** Requests the stop. */
  public void request() {
    requested.countDown();
  }

  /** Waits until the stop is requested. */
  public void await() {
    try {
      requested.await();
    } catch (InterruptedException exception) {
      // An interrupt also requests the stop.
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Reports that the stop has finished.
   *
   * @param code the exit code of the process
   */
  public void finish(int code) {
    exitCode = code;
    finished.countDown();
  }

  private void endProcess() {
    request();
    try {
      finished.await();
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
    }
    // Without halt, the exit code would be 128 plus the number of the signal, even after a planned
    // stop.
    Runtime.getRuntime().halt(exitCode);
  }
}
