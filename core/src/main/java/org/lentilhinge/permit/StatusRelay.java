package org.lentilhinge.permit;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.lentilhinge.allowance.AllowanceReport;
import org.lentilhinge.overlay.HostRecord;
import org.lentilhinge.overlay.OverlayCommand;
import org.lentilhinge.overlay.RelaySelector;

/**
 * Distributes engine statuses to all hosts. The host that runs a scheduler sends its statuses to
 * one relay in each zone, and a relay passes on what it collected to the hosts of its zone, so that
 * a host receives a few messages a second whatever the number of engines. Unchanged statuses are
 * sent at a long interval only.
 */
public final class StatusRelay {

  /**
   * The interval at which unchanged statuses are sent, in milliseconds. Receivers ignore statuses
   * that are 2.5 s old, so one message may be lost.
   */
  private static final long REFRESH_MILLIS = 1_000;

  /** The change of a backlog below which a status counts as unchanged, in milliseconds. */
  private static final long BACKLOG_TOLERANCE_MILLIS = 20;

  private final HostRecord self;
  private final RelaySelector selector;
  private final Map<String, SentStatus> sent = new HashMap<>();
  private final Map<String, Collected> collected = new TreeMap<>();

  private record SentStatus(EngineStatus status, long acceptedOrders, long sentAtMillis) {}

  /** The latest statuses of one sending host that were not passed on yet, by engine. */
  private static final class Collected {
    private final Map<String, EngineStatus> statuses = new LinkedHashMap<>();
    private final Map<String, OrderCount> counts = new LinkedHashMap<>();
    private Optional<AllowanceReport> use = Optional.empty();

    private void add(OwnerStatuses newer) {
      newer.statuses().forEach(status -> statuses.put(status.incarnation(), status));
      newer.counts().forEach(count -> counts.put(count.incarnation(), count));
      use = newer.use().map(report -> use.map(report::addedTo).orElse(report)).or(() -> use);
    }
  }

  /**
   * Creates a relay.
   *
   * @param self this host
   */
  public StatusRelay(HostRecord self) {
    this.self = self;
    this.selector = new RelaySelector(self);
  }

  /**
   * Sends the statuses that have changed or are due again.
   *
   * @param statuses the statuses of the engines whose schedulers this host runs
   * @param counts the order counts of these engines; all of them are sent for an engine without a
   *     status
   * @param use what the customers of this host use, if that is due
   * @param hosts the other live hosts
   * @param reachable whether messages reach a host
   * @param nowMillis the current time, in milliseconds
   * @return the messages to send
   */
  public List<OverlayCommand.Send> publish(
      List<EngineStatus> statuses,
      List<OrderCount> counts,
      Optional<AllowanceReport> use,
      Collection<HostRecord> hosts,
      Predicate<String> reachable,
      long nowMillis) {
    Map<String, OrderCount> countsByEngine = new LinkedHashMap<>();
    counts.forEach(count -> countsByEngine.put(count.incarnation(), count));
    List<EngineStatus> due = new ArrayList<>();
    for (EngineStatus status : statuses) {
      long accepted =
          Optional.ofNullable(countsByEngine.get(status.incarnation()))
              .map(OrderCount::acceptedOrders)
              .orElse(-1L);
      if (isDue(status, accepted, nowMillis)) {
        sent.put(status.incarnation(), new SentStatus(status, accepted, nowMillis));
        due.add(status);
      } else {
        countsByEngine.remove(status.incarnation());
      }
    }
    sent.values().removeIf(entry -> nowMillis - entry.sentAtMillis() > 2 * REFRESH_MILLIS);
    if (due.isEmpty() && countsByEngine.isEmpty() && use.isEmpty()) {
      return List.of();
    }
    OwnerStatuses own =
        new OwnerStatuses(self.host(), due, List.copyOf(countsByEngine.values()), use);
    return distribute(own, hosts, reachable);
  }

  private boolean isDue(EngineStatus status, long acceptedOrders, long nowMillis) {
    SentStatus former = sent.get(status.incarnation());
    return former == null
        || nowMillis - former.sentAtMillis() >= REFRESH_MILLIS
        || acceptedOrders != former.acceptedOrders()
        || Math.abs(status.backlogMillis() - former.status().backlogMillis())
            >= BACKLOG_TOLERANCE_MILLIS
        || !status.withBacklog(0).equals(former.status().withBacklog(0));
  }

  private List<OverlayCommand.Send> distribute(
      OwnerStatuses own, Collection<HostRecord> hosts, Predicate<String> reachable) {
    List<OverlayCommand.Send> messages = new ArrayList<>();
    for (RelaySelector.Target target : selector.select(hosts, reachable)) {
      if (target.host().equals(self.host())) {
        collect(own);
      } else {
        EngineStatuses message = new EngineStatuses(List.of(own), target.relays());
        messages.add(new OverlayCommand.Send(target.host(), message));
      }
    }
    return messages;
  }

  /**
   * Collects statuses that this host has to pass on.
   *
   * @param message the statuses received
   */
  public void receive(EngineStatuses message) {
    if (message.relayed()) {
      message.owners().forEach(this::collect);
    }
  }

  private void collect(OwnerStatuses owner) {
    collected.computeIfAbsent(owner.host(), unused -> new Collected()).add(owner);
  }

  /**
   * Passes on the collected statuses.
   *
   * @param hosts the other live hosts
   * @return the messages to send
   */
  public List<OverlayCommand.Send> flush(Collection<HostRecord> hosts) {
    if (collected.isEmpty()) {
      return List.of();
    }
    List<OwnerStatuses> owners = new ArrayList<>();
    collected.forEach(
        (host, latest) ->
            owners.add(
                new OwnerStatuses(
                    host,
                    List.copyOf(latest.statuses.values()),
                    List.copyOf(latest.counts.values()),
                    latest.use)));
    collected.clear();
    EngineStatuses message = new EngineStatuses(owners, false);
    return hosts.stream()
        .filter(host -> host.zone().equals(self.zone()))
        .map(host -> new OverlayCommand.Send(host.host(), message))
        .toList();
  }
}
