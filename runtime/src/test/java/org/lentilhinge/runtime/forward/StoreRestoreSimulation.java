package org.lentilhinge.runtime.forward;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.lentilhinge.fleet.EndpointDepartures;
import org.lentilhinge.fleet.EndpointState;
import org.lentilhinge.fleet.FleetEndpoint;
import org.lentilhinge.identity.StoreRevision;
import org.lentilhinge.message.PeerMessage;
import org.lentilhinge.overlay.HostRecord;
import org.lentilhinge.overlay.RelaySelector;
import org.lentilhinge.permit.StatusRelay;
import org.lentilhinge.published.DeclarationNews;
import org.lentilhinge.published.DeclaredState;
import org.lentilhinge.published.EndpointListing;
import org.lentilhinge.published.ListingNews;

/** The hosts of a zone and servers that use a store which is restored, in virtual time. */
final class StoreRestoreSimulation extends VirtualTimeSimulation {

  private static final long TICK_MILLIS = 50;
  private static final long HEARTBEAT_MILLIS = 500;
  private static final long EXPIRY_MILLIS = 1_500;
  private static final long RESPONSE_TIMEOUT_MILLIS = 1_000;

  /** The time after the store's return in which operators declare again what was lost. */
  private static final long DECLARATION_MILLIS = 1_000;

  /** The time after the store's return in which all servers register again, in milliseconds. */
  private static final long REREGISTRATION_MILLIS = 2_000;

  /** The time after which an acknowledged change must be applied, in milliseconds. */
  private static final long BOUND_MILLIS = 3_000;

  private final RestoredStore store = new RestoredStore();
  private final Map<String, Server> servers = new HashMap<>();
  private final List<Host> hosts = new ArrayList<>();
  private final List<String> faults = new ArrayList<>();
  private final Vertx vertx;
  private final Random random;
  private long requiredVersion;
  private long storeFailures;
  private long firstFailureAtMillis = Long.MAX_VALUE;
  private long returnedAtMillis;

  private static final class Server {
    private EndpointState state = EndpointState.READY;
    private boolean running = true;
    private long heartbeatAllowedAtMillis;
  }

  StoreRestoreSimulation(Vertx vertx, int hostCount, int serverCount, long seed) {
    this.vertx = vertx;
    random = new Random(seed);
    for (int index = 0; index < serverCount; index++) {
      start("e" + index);
    }
    for (int index = 0; index < hostCount; index++) {
      Host host = new Host(index);
      hosts.add(host);
      schedule(random.nextInt((int) TICK_MILLIS), host::tick);
    }
    schedule(TICK_MILLIS, this::check);
  }

  void at(long millis, Runnable task) {
    schedule(millis - now(), task);
  }

  void runUntil(long endMillis) {
    runEventsUntil(endMillis);
  }

  /** Returns the broken rules, each with its time. */
  List<String> faults() {
    return faults;
  }

  private void start(String id) {
    servers.put(id, new Server());
    schedule(random.nextInt((int) HEARTBEAT_MILLIS), () -> sendHeartbeat(id));
  }

  private void sendHeartbeat(String id) {
    Server server = servers.get(id);
    if (server.running) {
      if (store.isUp() && now() >= server.heartbeatAllowedAtMillis) {
        store.register(id, 1, server.state, now() + EXPIRY_MILLIS);
      }
      schedule(HEARTBEAT_MILLIS, () -> sendHeartbeat(id));
    }
  }

  /** Lets a server report that it is draining; a store that is up acknowledges it at once. */
  void drain(String id) {
    servers.get(id).state = EndpointState.DRAINING;
    if (store.isUp()) {
      store.register(id, 1, EndpointState.DRAINING, now() + EXPIRY_MILLIS);
    }
    requireAfter(BOUND_MILLIS, () -> forbid(id));
  }

  /** Ends a server without a report; its entry expires. */
  void end(String id) {
    servers.get(id).running = false;
    requireAfter(EXPIRY_MILLIS + BOUND_MILLIS, () -> forbid(id));
  }

  /** Declares a configuration; the store acknowledges it at once. */
  void declare(long version) {
    store.declare(version);
    long failures = storeFailures;
    schedule(
        BOUND_MILLIS,
        () -> {
          if (storeFailures == failures) {
            requiredVersion = Math.max(requiredVersion, version);
          }
        });
  }

  private void forbid(String id) {
    hosts.forEach(host -> host.forbidden.add(id));
  }

  /**
   * Requires something of all hosts after a time. A failure of the store in this time may lose the
   * report: then the time counts from when all servers have registered again.
   */
  private void requireAfter(long boundMillis, Runnable requirement) {
    long failures = store.isUp() ? storeFailures : storeFailures - 1;
    schedule(
        boundMillis,
        () -> {
          if (!store.isUp()) {
            schedule(
                TICK_MILLIS, () -> requireAfter(boundMillis + REREGISTRATION_MILLIS, requirement));
          } else if (storeFailures > failures) {
            requireAfter(boundMillis + REREGISTRATION_MILLIS, requirement);
          } else {
            requirement.run();
          }
        });
  }

  Runnable copy() {
    return store.copy();
  }

  void failStore() {
    storeFailures++;
    firstFailureAtMillis = Math.min(firstFailureAtMillis, now());
    store.fail();
  }

  /** Restores the store; the servers register again one after the other within two seconds. */
  void restoreStore(Runnable copy) {
    returnedAtMillis = now();
    store.restore(copy, now(), EXPIRY_MILLIS);
    servers
        .values()
        .forEach(server -> server.heartbeatAllowedAtMillis = now() + random.nextInt(1_400));
  }

  /** Cuts a host off from the store. */
  void cut(int index, boolean isCut) {
    hosts.get(index).cut = isCut;
  }

  /** Replaces a host by one that knows nothing. */
  void restartHost(int index) {
    hosts.get(index).stop();
    Host started = new Host(index);
    hosts.set(index, started);
    schedule(0, started::tick);
  }

  /** Lets a call of a host that has reached the store be answered late. */
  void delayNextListing(int index, long millis) {
    hosts.get(index).listingDelayMillis = millis;
  }

  private void check() {
    hosts.forEach(Host::check);
    schedule(TICK_MILLIS, this::check);
  }

  private long delay() {
    return 2 + random.nextInt(30);
  }

  private final class Host implements PublishedStore, ZoneGroup {
    private final int index;
    private final HostState state;
    private final StoreFollower follower;
    private final long startedAtMillis = now();
    private final Set<String> forbidden = new HashSet<>();
    private final Map<String, Long> joinedAtMillis = new HashMap<>();
    private boolean stopped;
    private boolean cut;
    private long listingDelayMillis;
    private long version;

    private Host(int index) {
      this.index = index;
      HostContext context =
          new HostContext(
              vertx,
              ForwardFixture.settings(),
              () -> now(),
              new EventLog(new PrintStream(PrintStream.nullOutputStream()), () -> 0),
              new MetricRegistry());
      state = new HostState(context, ForwardFixture.overlay(ForwardFixture.settings()));
      PeerSender peers = (host, message) -> {};
      HostRecord self = new HostRecord("10.0.0.1", "a", "north", 1, 1, false);
      HostBroadcast broadcast = new HostBroadcast(context, state, new RelaySelector(self), peers);
      EngineSchedulers schedulers =
          new EngineSchedulers(
              context,
              new NoEngineControl(),
              peers,
              new StatusExchange(context, state, new StatusRelay(self), peers),
              state,
              new EndpointLimitRunner(context, state, broadcast, peers));
      EndpointPool pool =
          new EndpointPool(vertx, 1_000, () -> now(), new OrderedResponseMatcher(), address -> {});
      EndpointDepartureRunner departures =
          new EndpointDepartureRunner(context, state, new EndpointDepartures(random), broadcast);
      StoreStateUpdater updater =
          new StoreStateUpdater(context, state, schedulers, departures, List.of(pool), () -> {});
      follower =
          new StoreFollower(task -> schedule(0, task), () -> now(), this, updater, this, random);
    }

    private void stop() {
      stopped = true;
      follower.stop();
    }

    private void tick() {
      if (!stopped) {
        follower.tick();
        schedule(TICK_MILLIS, this::tick);
      }
    }

    private void check() {
      long current =
          state.configuration().map(configuration -> configuration.version().number()).orElse(0L);
      boolean settled = store.isUp() && now() - knowableAtMillis() > BOUND_MILLIS;
      if (current < version) {
        faults.add(now() + ": host " + index + " went back from " + version + " to " + current);
      }
      if (settled && !cut && current < requiredVersion) {
        faults.add(now() + ": host " + index + " has " + current + " of " + requiredVersion);
      }
      version = current;
      for (FleetEndpoint endpoint : state.endpoints().usableEndpoints("s")) {
        joinedAtMillis.putIfAbsent(endpoint.id(), now());
        if (mustKnow(endpoint.id()) && forbidden.contains(endpoint.id())) {
          faults.add(now() + ": host " + index + " uses " + endpoint.id());
        }
      }
      for (String id : joinedAtMillis.keySet()) {
        Server server = servers.get(id);
        boolean sound = server.running && server.state == EndpointState.READY;
        if (sound && state.endpoints().find(id).isEmpty()) {
          faults.add(now() + ": host " + index + " dropped " + id);
        }
      }
    }

    /**
     * Returns whether this host must know what became of a server. A copy of the store may list
     * servers that had ended before this host saw them; they expire after the store's return.
     */
    private boolean mustKnow(String id) {
      boolean seen = joinedAtMillis.get(id) < firstFailureAtMillis;
      long knowableMillis = Math.max(startedAtMillis, returnedAtMillis);
      return seen || now() - knowableMillis > EXPIRY_MILLIS + BOUND_MILLIS;
    }

    /** Returns when this host could read all that the others know, in milliseconds. */
    private long knowableAtMillis() {
      return startedAtMillis < firstFailureAtMillis
          ? startedAtMillis
          : Math.max(startedAtMillis, returnedAtMillis + DECLARATION_MILLIS);
    }

    private <T> void failLater(Promise<T> promise, long millis) {
      schedule(millis, () -> promise.tryFail(new IOException("timed out")));
    }

    @Override
    public Future<EndpointListing> listEndpoints() {
      Promise<EndpointListing> promise = Promise.promise();
      long answerDelay = delay() + listingDelayMillis;
      listingDelayMillis = 0;
      failLater(promise, Math.max(RESPONSE_TIMEOUT_MILLIS, answerDelay + 1));
      schedule(
          delay(),
          () -> {
            if (store.isUp() && !cut) {
              EndpointListing listing = store.listing();
              schedule(answerDelay, () -> promise.tryComplete(listing));
            }
          });
      return promise.future();
    }

    @Override
    public Future<DeclaredState> readDeclaredState() {
      Promise<DeclaredState> promise = Promise.promise();
      failLater(promise, RESPONSE_TIMEOUT_MILLIS);
      schedule(
          delay(),
          () -> {
            if (store.isUp() && !cut) {
              DeclaredState declared = store.declaredAfter(-1);
              schedule(delay(), () -> promise.tryComplete(declared));
            }
          });
      return promise.future();
    }

    @Override
    public Future<DeclaredState> awaitDeclaredState(StoreRevision revision, long waitMillis) {
      Promise<DeclaredState> promise = Promise.promise();
      failLater(promise, waitMillis + RESPONSE_TIMEOUT_MILLIS);
      long untilMillis = now() + waitMillis;
      schedule(
          delay(),
          () -> {
            if (store.isUp() && !cut) {
              if (revision.revision() > store.revision()) {
                schedule(delay(), () -> promise.tryFail(new HistoryCompactedException(revision)));
              } else {
                await(promise, revision, untilMillis);
              }
            }
          });
      return promise.future();
    }

    /** Goes on across an outage: a store may keep the connections of those that wait. */
    private void await(Promise<DeclaredState> promise, StoreRevision revision, long untilMillis) {
      long after = revision.revision();
      if (store.isUp() && (store.hasDeclaredAfter(after) || now() >= untilMillis)) {
        if (store.era() == revision.era()) {
          DeclaredState declared = store.declaredAfter(after);
          schedule(delay(), () -> promise.tryComplete(declared));
        } else {
          schedule(delay(), () -> promise.tryFail(new HistoryCompactedException(revision)));
        }
      } else if (!promise.future().isComplete()) {
        schedule(10, () -> await(promise, revision, untilMillis));
      }
    }

    @Override
    public int rank() {
      return index;
    }

    @Override
    public void sendToZone(PeerMessage news) {
      for (int other = 0; other < hosts.size(); other++) {
        int receiver = other;
        if (receiver != index) {
          schedule(delay(), () -> hosts.get(receiver).receive(index, news));
        }
      }
    }

    private void receive(int sender, PeerMessage news) {
      if (news instanceof ListingNews listing) {
        follower.receive(listing);
      } else {
        follower.receive("host-" + sender, (DeclarationNews) news);
      }
    }
  }

  /** Removes expired entries while the store is up. */
  void removeExpiredEntries() {
    if (store.isUp()) {
      store.removeExpired(now());
    }
    schedule(TICK_MILLIS, this::removeExpiredEntries);
  }
}
