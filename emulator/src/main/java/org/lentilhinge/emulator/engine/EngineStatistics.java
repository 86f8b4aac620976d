package org.lentilhinge.emulator.engine;

import java.util.ArrayList;
import java.util.List;

/** Counts the activity of an emulated engine. */
public final class EngineStatistics {

  private final List<AcceptedAttempt> acceptedAttempts = new ArrayList<>();
  private long steps;
  private long tokens;
  private int connections;
  private int loads;
  private int unloads;
  private int unloadsInUse;
  private int cancelledAttempts;
  private int rejectedOrders;

  synchronized void recordAttempt(AcceptedAttempt attempt) {
    acceptedAttempts.add(attempt);
    notifyAll();
  }

  synchronized void recordStep(int running) {
    steps++;
    tokens += running;
  }

  synchronized void recordConnection() {
    connections++;
  }

  synchronized void recordLoad() {
    loads++;
  }

  synchronized void recordUnload(boolean inUse) {
    unloads++;
    if (inUse) {
      unloadsInUse++;
    }
  }

  synchronized void recordCancellation() {
    cancelledAttempts++;
    notifyAll();
  }

  synchronized void recordRejectedOrder() {
    rejectedOrders++;
  }

  /**
   * Returns the accepted attempts in the order of their arrival.
   *
   * @return the attempts
   */
  public synchronized List<AcceptedAttempt> acceptedAttempts() {
    return List.copyOf(acceptedAttempts);
  }

  /**
   * Returns the number of decoding steps.
   *
   * @return the number of steps
   */
  public synchronized long steps() {
    return steps;
  }

  /**
   * Returns the number of generated tokens. This number divided by the number of steps is the mean
   * batch size.
   *
   * @return the number of tokens
   */
  public synchronized long tokens() {
    return tokens;
  }

  /**
   * Returns the number of adapter loads that were started.
   *
   * @return the number of loads
   */
  public synchronized int loads() {
    return loads;
  }

  /**
   * Returns the number of adapter unloads.
   *
   * @return the number of unloads
   */
  public synchronized int unloads() {
    return unloads;
  }

  /**
   * Returns the number of unloads of adapter versions that were in use by a request.
   *
   * @return the number of unloads, which must stay 0
   */
  public synchronized int unloadsInUse() {
    return unloadsInUse;
  }

  /**
   * Returns the number of attempts that were cancelled by request or by a closed connection.
   *
   * @return the number of attempts
   */
  public synchronized int cancelledAttempts() {
    return cancelledAttempts;
  }

  /**
   * Waits until a number of attempts have been cancelled.
   *
   * @param count the number of attempts
   * @throws InterruptedException if the wait is interrupted
   */
  public synchronized void awaitCancelled(int count) throws InterruptedException {
    MonitorWait.until(this, () -> cancelledAttempts >= count);
  }

  /**
   * Waits until a number of attempts have been accepted.
   *
   * @param count the number of attempts
   * @throws InterruptedException if the wait is interrupted
   */
  public synchronized void awaitAttempts(int count) throws InterruptedException {
    MonitorWait.until(this, () -> acceptedAttempts.size() >= count);
  }

  /**
   * Returns the number of connections that were opened.
   *
   * @return the number of connections
   */
  public synchronized int connections() {
    return connections;
  }

  /**
   * Returns the number of orders that were rejected because their fencing token was too low.
   *
   * @return the number of orders
   */
  public synchronized int rejectedOrders() {
    return rejectedOrders;
  }
}
