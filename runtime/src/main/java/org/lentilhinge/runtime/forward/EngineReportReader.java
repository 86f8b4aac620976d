package org.lentilhinge.runtime.forward;

import java.util.OptionalLong;
import org.lentilhinge.fleet.FleetEndpoint;

/** Reads the reports of one engine, one at a time. */
final class EngineReportReader {

  /** The minimum interval between reads of an engine that may be down, in milliseconds. */
  static final long READ_INTERVAL_MILLIS = 300;

  private final HostContext context;
  private final EngineControl control;
  private final FleetEndpoint engine;
  private final Listener listener;
  private boolean inFlight;
  private boolean closed;
  private long lastReadAtMillis;
  private OptionalLong unreachableSinceMillis = OptionalLong.empty();

  /** Receives the results of the reads. */
  interface Listener {

    /**
     * Handles a report.
     *
     * @param report the report
     * @param requestedAtMillis the time of the request, in milliseconds
     * @param reason why the report was read
     */
    void onReport(EngineReport report, long requestedAtMillis, String reason);

    /** Handles a read that received no report. */
    void onNoReport();
  }

  EngineReportReader(
      HostContext context, EngineControl control, FleetEndpoint engine, Listener listener) {
    this.context = context;
    this.control = control;
    this.engine = engine;
    this.listener = listener;
  }

  /** Reads a report unless a read is in flight. */
  void read(String reason) {
    if (inFlight || closed) {
      return;
    }
    inFlight = true;
    long requestedAtMillis = context.now();
    lastReadAtMillis = requestedAtMillis;
    control
        .report(engine)
        .onComplete(
            result -> {
              inFlight = false;
              if (result.succeeded()) {
                unreachableSinceMillis = OptionalLong.empty();
                listener.onReport(result.result(), requestedAtMillis, reason);
              } else {
                listener.onNoReport();
              }
            });
  }

  /** Indicates whether the last read was long enough ago for one that is repeated. */
  boolean isDue() {
    return context.now() - lastReadAtMillis >= READ_INTERVAL_MILLIS;
  }

  /** Records that the engine did not respond, to a read or an order. */
  void recordUnreachable() {
    unreachableSinceMillis = OptionalLong.of(unreachableSinceMillis.orElse(context.now()));
  }

  /** Indicates whether the engine has not responded since the last report. */
  boolean isUnanswered() {
    return unreachableSinceMillis.isPresent();
  }

  /** Returns the time since the first failure after the last report, in milliseconds. */
  long unreachableMillis() {
    return context.now() - unreachableSinceMillis.orElse(context.now());
  }

  void close() {
    closed = true;
  }
}
