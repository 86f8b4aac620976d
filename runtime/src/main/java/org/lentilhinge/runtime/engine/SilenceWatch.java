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
final class SilenceWatch {

  private final Scheduler scheduler;
  private final LongSupplier nowMillis;
  private final Runnable onSilence;
  private long limitMillis;
  private long waitingSinceMillis;
  private boolean waiting;
  private boolean stopped;
  private Disposable timer = Disposable.disposed();

  SilenceWatch(Scheduler scheduler, LongSupplier nowMillis, Runnable onTimeout) {
    this.scheduler = scheduler;
    this.nowMillis = nowMillis;
    this.onSilence = onTimeout;
  }

  /** Starts waiting for data, with a timeout in milliseconds. */
  synchronized void expect(long millis) {
    limitMillis = millis;
    waitingSinceMillis = nowMillis.getAsLong();
    waiting = true;
    if (timer.isDisposed() && !stopped) {
      schedule(millis);
    }
  }

  /** Stops waiting, because data has arrived or nothing is currently requested. */
  synchronized void rest() {
    waiting = false;
  }

  synchronized void stop() {
    stopped = true;
    waiting = false;
    timer.dispose();
  }

  private void schedule(long millis) {
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
      if (now - dueMillis > limitMillis) {
        waitingSinceMillis = now;
      }
      if (!waiting || now - waitingSinceMillis < limitMillis) {
        schedule(waiting ? waitingSinceMillis + limitMillis - now : limitMillis);
        return;
      }
      stopped = true;
    }
    onSilence.run();
  }
}
