package org.lentilhinge.booking;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.lentilhinge.attempt.RetryBudget;
import org.lentilhinge.configuration.Deduplication;
import org.lentilhinge.configuration.Service;
import org.lentilhinge.configuration.ServiceInstance;
import org.lentilhinge.identity.AttemptId;
import org.lentilhinge.identity.ZoneId;

/**
 * Runs the calls of a partition owner: at most one attempt whose bytes may have been sent, or
 * several attempts at a service that deduplicates.
 */
final class CallRunner {

  private static final int MAXIMUM_ATTEMPTS = 3;

  private final ZoneId zone;
  private final BookingLimits limits;
  private final ServiceDirectory services;
  private final RetryBudget budget;
  private final Supplier<AttemptId> attemptIds;
  private final BookingTable table;
  private final KeyCoverage coverage;
  private boolean stopped;

  CallRunner(
      ZoneId zone,
      BookingLimits limits,
      ServiceDirectory services,
      RetryBudget budget,
      Supplier<AttemptId> attemptIds,
      BookingTable table,
      KeyCoverage coverage) {
    this.zone = zone;
    this.limits = limits;
    this.services = services;
    this.budget = budget;
    this.attemptIds = attemptIds;
    this.table = table;
    this.coverage = coverage;
  }

  static boolean deduplicates(Service service) {
    return service.deduplication() == Deduplication.BY_KEY;
  }

  /** Stops this runner, which then starts no further attempts. */
  void stop() {
    stopped = true;
  }

  void start(
      OutcomeWaiter waiter,
      BookingCall call,
      Service service,
      TableEntry entry,
      long nowMillis,
      List<BookingCommand> commands) {
    if (table.runningCalls() >= limits.maximumRunningCalls()) {
      entry.recordNotRun(BookingReason.OVERLOADED);
      replyToWaiters(entry, List.of(waiter), entry.outcome(limits.callTimeoutMillis()), commands);
      return;
    }
    TableEntry.RunningCall run =
        new TableEntry.RunningCall(call, nowMillis + limits.serviceTimeoutMillis());
    run.waiters().add(waiter);
    table.startRun(entry, run);
    budget.recordRequest();
    callNext(entry, service, nowMillis, commands);
  }

  private void callNext(
      TableEntry entry, Service service, long nowMillis, List<BookingCommand> commands) {
    TableEntry.RunningCall run = entry.run();
    Optional<ServiceInstance> instance = nextInstance(run, service);
    if (instance.isEmpty()) {
      endWithoutResponse(entry, nowMillis, commands);
      return;
    }
    AttemptId attempt = attemptIds.get();
    run.triedInstances().add(instance.get().id());
    table.startAttempt(entry, attempt);
    commands.add(
        new BookingCommand.CallService(
            attempt, instance.get(), entry.key(), run.call(), run.deadlineAtMillis() - nowMillis));
  }

  private Optional<ServiceInstance> nextInstance(TableEntry.RunningCall run, Service service) {
    if (run.triedInstances().size() >= MAXIMUM_ATTEMPTS) {
      return Optional.empty();
    }
    Comparator<ServiceInstance> untriedThenSameZone =
        Comparator.comparing(
                (ServiceInstance instance) -> run.triedInstances().contains(instance.id()))
            .thenComparing(instance -> !instance.zone().equals(zone))
            .thenComparing(ServiceInstance::id);
    return service.instances().stream()
        .filter(instance -> deduplicates(service) || !run.triedInstances().contains(instance.id()))
        .min(untriedThenSameZone);
  }

  boolean mayStart(AttemptId attempt, long nowMillis) {
    Optional<TableEntry> entry = table.findByAttempt(attempt);
    if (stopped || entry.isEmpty() || !isCurrent(entry.get(), attempt)) {
      return false;
    }
    BookingKey key = entry.get().key();
    return nowMillis < entry.get().run().deadlineAtMillis()
        && services
            .service(key.service())
            .filter(service -> coverage.isOwner(service, key, nowMillis))
            .isPresent();
  }

  private static boolean isCurrent(TableEntry entry, AttemptId attempt) {
    return entry.isRunning() && entry.attempt().filter(attempt::equals).isPresent();
  }

  void onAttemptEnded(
      AttemptId attempt, ServiceResult result, long nowMillis, List<BookingCommand> commands) {
    Optional<TableEntry> entry = table.findByAttempt(attempt);
    if (entry.isEmpty()) {
      return;
    }
    if (result.status() == ServiceResult.Status.ANSWERED) {
      onAnswered(entry.get(), result.response().orElseThrow(), commands);
    } else if (isCurrent(entry.get(), attempt)) {
      onAttemptFailed(entry.get(), result.status(), nowMillis, commands);
    }
  }

  private void onAnswered(
      TableEntry entry, BookingResponse response, List<BookingCommand> commands) {
    List<OutcomeWaiter> waiters = List.of();
    if (entry.isRunning()) {
      waiters = List.copyOf(entry.run().waiters());
      table.endRun();
    }
    entry.recordResponse(response, limits.maximumResponseBytes());
    table.removeAttempt(entry);
    replyToWaiters(entry, waiters, BookingOutcome.ran(response), commands);
  }

  private void onAttemptFailed(
      TableEntry entry,
      ServiceResult.Status status,
      long nowMillis,
      List<BookingCommand> commands) {
    if (status == ServiceResult.Status.SENT) {
      entry.run().markPossiblySent();
    }
    Optional<Service> service = services.service(entry.key().service());
    if (service.isPresent() && mayRetry(entry, service.get(), nowMillis)) {
      callNext(entry, service.get(), nowMillis, commands);
    } else {
      endWithoutResponse(entry, nowMillis, commands);
    }
  }

  private boolean mayRetry(TableEntry entry, Service service, long nowMillis) {
    if (stopped || nowMillis >= entry.run().deadlineAtMillis()) {
      return false;
    }
    return !entry.run().isPossiblySent() || deduplicates(service) && budget.tryRetry();
  }

  /** Ends the calls whose attempts have not ended before the deadline. */
  void tick(long nowMillis, List<BookingCommand> commands) {
    for (TableEntry entry : table.overdue(nowMillis)) {
      entry.run().markPossiblySent();
      endWithoutResponse(entry, nowMillis, commands);
    }
  }

  private void endWithoutResponse(TableEntry entry, long nowMillis, List<BookingCommand> commands) {
    List<OutcomeWaiter> waiters = List.copyOf(entry.run().waiters());
    if (entry.run().isPossiblySent()) {
      entry.recordUnknown(BookingReason.SERVICE_SILENT);
    } else if (stopped || hasCertainlyNotRun(entry, nowMillis)) {
      entry.recordNotRun(BookingReason.SERVICE_UNREACHABLE);
    } else {
      entry.recordUnknown(BookingReason.HOME_LOST);
    }
    table.endRun();
    replyToWaiters(entry, waiters, entry.outcome(limits.callTimeoutMillis()), commands);
  }

  private boolean hasCertainlyNotRun(TableEntry entry, long nowMillis) {
    return services
        .service(entry.key().service())
        .filter(service -> coverage.hasCertainlyNotRun(service, entry.key(), nowMillis))
        .isPresent();
  }

  private static void replyToWaiters(
      TableEntry entry,
      List<OutcomeWaiter> waiters,
      BookingOutcome outcome,
      List<BookingCommand> commands) {
    for (OutcomeWaiter waiter : waiters) {
      commands.add(
          new BookingCommand.SendMessage(
              waiter.gateway(), new BookingReply(waiter.request(), outcome, entry.refusalCount())));
    }
  }
}
