package org.lentilhinge.runtime.engine;

import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.disposables.Disposable;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Detects an engine that sends nothing within a timeout while data is requested from it. Time
 * during which the subscriber requests nothing does not count, so that a slow caller is not
 * mistaken for an unresponsive engine.
 */
final class InactivityTimer {

  private final Scheduler scheduler;
  private final LongSupplier nowMillis;
  private final Runnable onTimeout;
  private long timeoutMillis;
  private long waitingSinceMillis;
  private boolean waiting;
  private boolean stopped;
  private Disposable timer = Disposable.disposed();

  InactivityTimer(Scheduler scheduler, LongSupplier nowMillis, Runnable onTimeout) {
    this.scheduler = scheduler;
    this.nowMillis = nowMillis;
    this.onTimeout = onTimeout;
  }

  /** Starts waiting for data, with a timeout in milliseconds. */
  synchronized void startWaiting(long newTimeoutMillis) {
    timeoutMillis = newTimeoutMillis;
    waitingSinceMillis = nowMillis.getAsLong();
    waiting = true;
    if (timer.isDisposed() && !stopped) {
      scheduleCheck(newTimeoutMillis);
    }
  }

  /** Stops waiting because nothing is currently requested. */
  synchronized void stopWaiting() {
    waiting = false;
  }

  synchronized void stop() {
    stopped = true;
    waiting = false;
    timer.dispose();
  }

  private void scheduleCheck(long delayMillis) {
    long dueMillis = nowMillis.getAsLong() + delayMillis;
    timer = scheduler.scheduleDirect(() -> check(dueMillis), delayMillis, TimeUnit.MILLISECONDS);
  }

  private void check(long dueMillis) {
    synchronized (this) {
      if (stopped) {
        return;
      }
      long checkedAtMillis = nowMillis.getAsLong();
      // A check that runs late by more than the timeout indicates that this process was paused, so
      // the pause must not count as inactivity of the engine.
      if (checkedAtMillis - dueMillis > timeoutMillis) {
        waitingSinceMillis = checkedAtMillis;
      }
      if (!waiting || checkedAtMillis - waitingSinceMillis < timeoutMillis) {
        scheduleCheck(
            waiting ? waitingSinceMillis + timeoutMillis - checkedAtMillis : timeoutMillis);
        return;
      }
      stopped = true;
    }
    onTimeout.run();
  }
}
