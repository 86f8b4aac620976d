package org.lentilhinge.runtime.forward;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.lentilhinge.permit.EngineOwnership;

/** The orders to one engine that wait to be sent, or to be complete. */
final class OwnedOrders {

  private final Deque<OwnedOrder> queued = new ArrayDeque<>();
  private final Map<OwnedOrder, Long> startedAtMillis = new HashMap<>();
  private final Map<OwnedOrder, Long> answeredAtMillis = new HashMap<>();
  private final Set<OwnedOrder> overdue = new HashSet<>();
  private final Set<OwnedOrder> abandoned = new HashSet<>();
  private final Set<OwnedOrder> counted = new HashSet<>();
  private final Set<OwnedOrder> awaitingReport = new LinkedHashSet<>();

  void add(OwnedOrder order) {
    queued.add(order);
  }

  /** Takes the next order of the current ownership to send; removes those of others. */
  Optional<OwnedOrder> takeNext(OptionalLong ownershipNumber, long nowMillis) {
    queued.removeIf(order -> !isValid(order, ownershipNumber));
    Optional<OwnedOrder> next = Optional.ofNullable(queued.poll());
    next.ifPresent(order -> startedAtMillis.putIfAbsent(order, nowMillis));
    return next;
  }

  /** Indicates whether an order of the current ownership waits to be sent. */
  boolean hasNext(OptionalLong ownershipNumber) {
    return queued.stream().anyMatch(order -> isValid(order, ownershipNumber));
  }

  /** Indicates whether the next order of the current ownership to send is a load. */
  boolean isNextLoad(OptionalLong ownershipNumber) {
    return queued.stream()
        .filter(order -> isValid(order, ownershipNumber))
        .findFirst()
        .filter(order -> order.order().load())
        .isPresent();
  }

  static boolean isValid(OwnedOrder order, OptionalLong ownershipNumber) {
    return ownershipNumber.equals(OptionalLong.of(order.ownershipNumber()));
  }

  /** Removes the orders that wait to be sent. */
  void clearQueue() {
    queued.clear();
  }

  /** Forgets an order. */
  void discard(OwnedOrder order) {
    startedAtMillis.remove(order);
    answeredAtMillis.remove(order);
    overdue.remove(order);
    abandoned.remove(order);
    counted.remove(order);
    awaitingReport.remove(order);
  }

  /** Records that the engine answered an order, or that the wait for the answer has ended. */
  void recordAnswer(OwnedOrder order, long nowMillis) {
    answeredAtMillis.put(order, nowMillis);
  }

  /** Returns whether a report that was requested at some time shows the effect of an order. */
  boolean isShown(OwnedOrder order, long requestedAtMillis) {
    long answeredAt = answeredAtMillis.getOrDefault(order, Long.MAX_VALUE);
    return requestedAtMillis - EngineOwnership.MAXIMUM_REPORT_AGE_MILLIS > answeredAt;
  }

  /** Records that an order takes long; returns whether that was not known yet. */
  boolean recordOverdue(OwnedOrder order) {
    return overdue.add(order);
  }

  /** Records that the engine may still carry out an order that this host no longer follows. */
  void recordAbandoned(OwnedOrder order) {
    abandoned.removeIf(former -> former.ownershipNumber() != order.ownershipNumber());
    abandoned.add(order);
  }

  /** Returns whether the same order was abandoned before under the same ownership. */
  boolean wasAbandoned(OwnedOrder order) {
    return abandoned.contains(order);
  }

  /** Records that the engine has answered an order; returns whether for the first time. */
  boolean recordCounted(OwnedOrder order) {
    return counted.add(order);
  }

  /** Records that the engine has not carried out an order. */
  void recordUncounted(OwnedOrder order) {
    counted.remove(order);
  }

  boolean isCounted(OwnedOrder order) {
    return counted.contains(order);
  }

  /** Returns the time since an order was first sent, in milliseconds. */
  long ageMillis(OwnedOrder order, long nowMillis) {
    return nowMillis - startedAtMillis.getOrDefault(order, nowMillis);
  }

  /** Records the end of an order; returns its age in milliseconds if it was sent. */
  OptionalLong finish(OwnedOrder order, long nowMillis) {
    counted.remove(order);
    answeredAtMillis.remove(order);
    overdue.remove(order);
    Long startedAt = startedAtMillis.remove(order);
    return startedAt == null ? OptionalLong.empty() : OptionalLong.of(nowMillis - startedAt);
  }

  /** Has the next report decide whether an order is complete. */
  void awaitReport(OwnedOrder order) {
    awaitingReport.add(order);
  }

  /** Takes the orders about which a report decides. */
  List<OwnedOrder> takeAwaiting() {
    List<OwnedOrder> taken = List.copyOf(awaitingReport);
    awaitingReport.clear();
    return taken;
  }
}
