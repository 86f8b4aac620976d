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
final class HomeRuns {

  private static final int MAXIMUM_ATTEMPTS = 3;

  private final ZoneId zone;
  private final BookingLimits limits;
  private final ServiceDirectory services;
  private final RetryBudget budget;
  private final Supplier<AttemptId> attempts;
  private final HomeTable table;
  private final HomeKnowledge knowledge;
  private boolean stopped;

  HomeRuns(
      ZoneId zone,
      BookingLimits limits,
      ServiceDirectory services,
      RetryBudget budget,
      Supplier<AttemptId> attemptIds,
      HomeTable table,
      HomeKnowledge knowledge) {
    this.zone = zone;
    this.limits = limits;
    this.services = services;
    this.budget = budget;
    this.attempts = attemptIds;
    this.table = table;
    this.knowledge = knowledge;
  }

  static boolean deduplicates(Service service) {
    return service.deduplication() == Deduplication.BY_KEY;
  }

  /** Stops this runner, which starts no attempts from now on. */
  void stop() {
    stopped = true;
  }

  void start(
      HomeWaiter waiter,
      BookingCall call,
      Service service,
      HomeEntry entry,
      long nowMillis,
      List<BookingCommand> commands) {
    if (table.running() >= limits.maximumRunning()) {
      entry.refused(BookingReason.OVERLOADED);
      tell(entry, List.of(waiter), entry.outcome(limits.callMillis()), commands);
      return;
    }
    HomeEntry.HomeRun run = new HomeEntry.HomeRun(call, nowMillis + limits.serviceMillis());
    run.waiters().add(waiter);
    table.runStarted(entry, run);
    budget.requestStarted();
    callNext(entry, service, nowMillis, commands);
  }

  private void callNext(
      HomeEntry entry, Service service, long nowMillis, List<BookingCommand> commands) {
    HomeEntry.HomeRun run = entry.run();
    Optional<ServiceInstance> instance = nextInstance(run, service);
    if (instance.isEmpty()) {
      end(entry, nowMillis, commands);
      return;
    }
    AttemptId attempt = attempts.get();
    run.tried().add(instance.get().id());
    table.attemptStarted(entry, attempt);
    commands.add(
        new BookingCommand.CallService(
            attempt, instance.get(), entry.key(), run.call(), run.deadlineMillis() - nowMillis));
  }

  private Optional<ServiceInstance> nextInstance(HomeEntry.HomeRun run, Service service) {
    if (run.tried().size() >= MAXIMUM_ATTEMPTS) {
      return Optional.empty();
    }
    Comparator<ServiceInstance> untriedThenSameZone =
        Comparator.comparing((ServiceInstance instance) -> run.tried().contains(instance.id()))
            .thenComparing(instance -> !instance.zone().equals(zone))
            .thenComparing(ServiceInstance::id);
    return service.instances().stream()
        .filter(instance -> deduplicates(service) || !run.tried().contains(instance.id()))
        .min(untriedThenSameZone);
  }

  boolean mayStart(AttemptId attempt, long nowMillis) {
    Optional<HomeEntry> entry = table.findByAttempt(attempt);
    if (stopped || entry.isEmpty() || !isCurrent(entry.get(), attempt)) {
      return false;
    }
    BookingKey key = entry.get().key();
    return nowMillis < entry.get().run().deadlineMillis()
        && services
            .service(key.service())
            .filter(service -> knowledge.isHome(service, key, nowMillis))
            .isPresent();
  }

  private static boolean isCurrent(HomeEntry entry, AttemptId attempt) {
    return entry.isRunning() && entry.attempt().filter(attempt::equals).isPresent();
  }

  void attemptEnded(
      AttemptId attempt, ServiceResult result, long nowMillis, List<BookingCommand> commands) {
    Optional<HomeEntry> entry = table.findByAttempt(attempt);
    if (entry.isEmpty()) {
      return;
    }
    if (result.ending() == ServiceResult.Ending.ANSWERED) {
      answered(entry.get(), result.answer().orElseThrow(), commands);
    } else if (isCurrent(entry.get(), attempt)) {
      failed(entry.get(), result.ending(), nowMillis, commands);
    }
  }

  private void answered(HomeEntry entry, BookingAnswer response, List<BookingCommand> commands) {
    List<HomeWaiter> waiters = List.of();
    if (entry.isRunning()) {
      waiters = List.copyOf(entry.run().waiters());
      table.runEnded();
    }
    entry.answered(response, limits.maximumAnswerBytes());
    table.attemptSettled(entry);
    tell(entry, waiters, BookingOutcome.ran(response), commands);
  }

  private void failed(
      HomeEntry entry, ServiceResult.Ending ending, long nowMillis, List<BookingCommand> commands) {
    if (ending == ServiceResult.Ending.SENT) {
      entry.run().markMaybeSent();
    }
    Optional<Service> service = services.service(entry.key().service());
    if (service.isPresent() && mayTryAgain(entry, service.get(), nowMillis)) {
      callNext(entry, service.get(), nowMillis, commands);
    } else {
      end(entry, nowMillis, commands);
    }
  }

  private boolean mayTryAgain(HomeEntry entry, Service service, long nowMillis) {
    if (stopped || nowMillis >= entry.run().deadlineMillis()) {
      return false;
    }
    return !entry.run().isMaybeSent() || deduplicates(service) && budget.tryRetry();
  }

  /** Ends the calls whose attempts have not ended before the deadline. */
  void tick(long nowMillis, List<BookingCommand> commands) {
    for (HomeEntry entry : table.overdue(nowMillis)) {
      entry.run().markMaybeSent();
      end(entry, nowMillis, commands);
    }
  }

  private void end(HomeEntry entry, long nowMillis, List<BookingCommand> commands) {
    List<HomeWaiter> waiters = List.copyOf(entry.run().waiters());
    if (entry.run().isMaybeSent()) {
      entry.unknown(BookingReason.SERVICE_SILENT);
    } else if (stopped || isCertain(entry, nowMillis)) {
      entry.refused(BookingReason.SERVICE_UNREACHABLE);
    } else {
      entry.unknown(BookingReason.HOME_LOST);
    }
    table.runEnded();
    tell(entry, waiters, entry.outcome(limits.callMillis()), commands);
  }

  private boolean isCertain(HomeEntry entry, long nowMillis) {
    return services
        .service(entry.key().service())
        .filter(service -> knowledge.isCertain(service, entry.key(), nowMillis))
        .isPresent();
  }

  private static void tell(
      HomeEntry entry,
      List<HomeWaiter> waiters,
      BookingOutcome outcome,
      List<BookingCommand> commands) {
    for (HomeWaiter waiter : waiters) {
      commands.add(
          new BookingCommand.SendMessage(
              waiter.gateway(), new BookingReply(waiter.request(), outcome, entry.round())));
    }
  }
}
