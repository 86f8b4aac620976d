package org.lentilhinge.runtime.engine;

import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.disposables.Disposable;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Detects an engine that sends nothing within a timeout while data is requested from it. Time
 * during which the reader requests nothing does not count, so that a slow caller is not mistaken
 * for an unresponsive engine.
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
  synchronized void startWaiting(long millis) {
    timeoutMillis = millis;
    waitingSinceMillis = nowMillis.getAsLong();
    waiting = true;
    if (timer.isDisposed() && !stopped) {
      scheduleCheck(millis);
    }
  }

  /** Stops waiting, because data has arrived or nothing is currently requested. */
  synchronized void stopWaiting() {
    waiting = false;
  }

  synchronized void stop() {
    stopped = true;
    waiting = false;
    timer.dispose();
  }

  private void scheduleCheck(long millis) {
    long dueMillis = nowMillis.getAsLong() + millis;
    timer = scheduler.scheduleDirect(() -> check(dueMillis), millis, TimeUnit.MILLISECONDS);
  }

  private void check(long dueMillis) {
    synchronized (this) {
      if (stopped) {
        return;
      }
      long now = nowMillis.getAsLong();
      // A timer that fires much too late indicates that this process was paused, not the engine.
      if (now - dueMillis > timeoutMillis) {
        waitingSinceMillis = now;
      }
      if (!waiting || now - waitingSinceMillis < timeoutMillis) {
        scheduleCheck(waiting ? waitingSinceMillis + timeoutMillis - now : timeoutMillis);
        return;
      }
      stopped = true;
    }
    onTimeout.run();
  }
}
