package org.lentilhinge.runtime.forward;

import com.codahale.metrics.MetricRegistry;

/** Logs the entries of the store that cannot be read, at most one a minute. */
final class RejectedEntryLog {

  private static final long INTERVAL_MILLIS = 60_000;

  private final HostContext context;
  private long loggedAtMillis = Long.MIN_VALUE / 2;
  private long unlogged;

  RejectedEntryLog(HostContext context) {
    this.context = context;
  }

  /** Records that an entry could not be read. */
  void record(String key) {
    context.metrics().counter(MetricRegistry.name("forward", "store", "rejected")).inc();
    unlogged++;
    if (context.now() - loggedAtMillis >= INTERVAL_MILLIS) {
      context.log().line("entry-rejected", "key", key, "sinceLastLine", unlogged);
      loggedAtMillis = context.now();
      unlogged = 0;
    }
  }
}
