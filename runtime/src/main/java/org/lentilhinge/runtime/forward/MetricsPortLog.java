package org.lentilhinge.runtime.forward;

import org.lentilhinge.runtime.listen.OptionalListener;

/** Logs when the port of the metrics cannot be opened and when it is open after all. */
final class MetricsPortLog implements OptionalListener.Observer {

  private final EventLog log;
  private final String address;

  MetricsPortLog(EventLog log, String address) {
    this.log = log;
    this.address = address;
  }

  @Override
  public void onUnavailable(Throwable cause) {
    log.line("metrics-unavailable", "address", address, "why", cause);
  }

  @Override
  public void onAvailable() {
    log.line("metrics-available", "address", address);
  }
}
