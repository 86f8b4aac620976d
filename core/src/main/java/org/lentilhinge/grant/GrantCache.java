package org.lentilhinge.grant;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.lentilhinge.identity.AdapterVersion;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.identity.HostIncarnation;
import org.lentilhinge.identity.RequestId;
import org.lentilhinge.membership.MessageSequence;
import org.lentilhinge.message.PeerMessage;

/**
 * Manages the grants of a gateway and counts the requests in flight under them.
 *
 * <p>A gateway calls {@link #acquire} for each request. On {@link GrantCommand.Ready} it checks
 * {@link #mayDispatch} and dispatches the request, and it calls {@link #finish} when the request
 * has ended on the engine. Requests that wait for the same version share one message. A grant in
 * use is renewed in advance, so that requests do not wait for the renewal. {@link #onMessage}
 * handles {@link GrantReply}, {@link OwnerAnnouncement} and {@link GrantRecall}.
 */
public final class GrantCache {

  private static final int MAXIMUM_REDIRECTS = 2;

  private final HostIncarnation self;
  private final GrantSettings settings;
  private final long startedMillis;
  private final Map<EndpointId, EndpointState> endpoints = new TreeMap<>();
  private long sequence;
  private long idleMillis;

  /**
   * Creates an empty cache.
   *
   * @param self the incarnation of this host
   * @param settings the intervals
   * @param nowMillis the monotonic clock
   */
  public GrantCache(HostIncarnation self, GrantSettings settings, long nowMillis) {
    this.self = self;
    this.settings = settings;
    this.startedMillis = nowMillis;
    this.idleMillis = settings.idleMillis();
    this.sequence = MessageSequence.first(self);
  }

  /**
   * Acquires the use of a version for one request.
   *
   * @param request the request
   * @param endpoint the endpoint
   * @param version the version
   * @param owner the owner to use if no host has announced itself as owner of the endpoint
   * @param nowMillis the monotonic clock
   * @return {@link GrantCommand.Ready} if there is a valid grant, otherwise a message to the owner
   *     unless a request for the version is already pending
   */
  public List<GrantCommand> acquire(
      RequestId request,
      EndpointId endpoint,
      AdapterVersion version,
      HostId owner,
      long nowMillis) {
    EndpointState state = endpoints.computeIfAbsent(endpoint, absent -> new EndpointState(owner));
    GrantEntry entry = state.entries.computeIfAbsent(version, absent -> new GrantEntry(nowMillis));
    if (entry.valid(nowMillis)) {
      entry.start(nowMillis);
      return List.of(new GrantCommand.Ready(request, endpoint, version));
    }
    entry.waiters().add(request);
    if (entry.pending()) {
      return List.of();
    }
    if (state.quiet()) {
      state.owner = owner;
    }
    GrantBatch batch = new GrantBatch();
    batch.add(state.owner, endpoint, version, entry);
    return requests(batch, nowMillis);
  }

  /**
   * Returns whether a request that was reported as ready may still be dispatched.
   *
   * @param endpoint the endpoint
   * @param version the version
   * @param nowMillis the monotonic clock, read immediately before the write
   * @return whether the grant is still valid
   */
  public boolean mayDispatch(EndpointId endpoint, AdapterVersion version, long nowMillis) {
    return entry(endpoint, version).filter(entry -> entry.valid(nowMillis)).isPresent();
  }

  /**
   * Removes a waiting request whose caller has disconnected or which was sent elsewhere.
   *
   * @param request the request
   * @param endpoint the endpoint
   * @param version the version
   */
  public void abandon(RequestId request, EndpointId endpoint, AdapterVersion version) {
    entry(endpoint, version).ifPresent(entry -> entry.waiters().remove(request));
  }

  /**
   * Records the end of a request: its response is complete, the engine has confirmed its
   * cancellation, or it was not dispatched.
   *
   * @param endpoint the endpoint
   * @param version the version
   * @param nowMillis the monotonic clock
   * @throws IllegalStateException if no request is in flight
   */
  public void finish(EndpointId endpoint, AdapterVersion version, long nowMillis) {
    entry(endpoint, version)
        .orElseThrow(() -> new IllegalStateException("no grant of " + version + " on " + endpoint))
        .finish(nowMillis);
  }

  /**
   * Returns the number of requests in flight on a version.
   *
   * @param endpoint the endpoint
   * @param version the version
   * @return the number of requests
   */
  public int inFlight(EndpointId endpoint, AdapterVersion version) {
    return entry(endpoint, version).map(GrantEntry::inFlight).orElse(0);
  }

  /**
   * Returns the owner to which requests for an endpoint are sent.
   *
   * @param endpoint the endpoint
   * @return the owner, or empty if the endpoint was neither used nor announced
   */
  public Optional<HostId> owner(EndpointId endpoint) {
    return Optional.ofNullable(endpoints.get(endpoint)).map(state -> state.owner);
  }

  /**
   * Handles a message of an owner.
   *
   * @param message the message
   * @param nowMillis the monotonic clock
   * @return the commands; none if the message is not for a gateway
   */
  public List<GrantCommand> onMessage(PeerMessage message, long nowMillis) {
    if (message instanceof GrantReply reply) {
      return onReply(reply, nowMillis);
    }
    if (message instanceof OwnerAnnouncement announcement) {
      return onAnnouncement(announcement, nowMillis);
    }
    if (message instanceof GrantRecall recall) {
      return onRecall(recall);
    }
    return List.of();
  }

  /** Releases a grant that is not in use; a reply in transit no longer has an effect. */
  private List<GrantCommand> onRecall(GrantRecall recall) {
    GrantBatch batch = new GrantBatch();
    entry(recall.endpoint(), recall.version())
        .filter(GrantEntry::unused)
        .ifPresent(entry -> batch.add(recall.owner(), recall.endpoint(), recall.version(), entry));
    return releases(batch);
  }

  /**
   * Renews grants in use, releases idle ones and refuses requests whose owner has not replied.
   *
   * @param nowMillis the monotonic clock
   * @return the commands
   */
  public List<GrantCommand> onTick(long nowMillis) {
    List<GrantCommand> commands = new ArrayList<>();
    GrantBatch renewals = new GrantBatch();
    GrantBatch releases = new GrantBatch();
    endpoints.forEach(
        (endpoint, state) -> {
          giveUpOverdue(endpoint, state, nowMillis, commands);
          state.entries.forEach(
              (version, entry) -> {
                if (entry.idle(nowMillis, idleMillis)) {
                  releases.add(state.owner, endpoint, version, entry);
                } else if (entry.renewable(nowMillis, settings.grantMillis(), idleMillis)) {
                  renewals.add(state.owner, endpoint, version, entry);
                }
              });
        });
    commands.addAll(requests(renewals, nowMillis));
    commands.addAll(releases(releases));
    return commands;
  }

  /**
   * Releases each grant as soon as it has no request in flight, because this host is stopping.
   *
   * @param nowMillis the monotonic clock
   * @return the commands
   */
  public List<GrantCommand> leave(long nowMillis) {
    idleMillis = 0;
    return onTick(nowMillis);
  }

  /**
   * Invalidates all grants. Requests in flight continue.
   *
   * @param nowMillis the monotonic clock
   * @return the commands
   */
  public List<GrantCommand> onClockJump(long nowMillis) {
    GrantBatch batch = new GrantBatch();
    endpoints.forEach(
        (endpoint, state) ->
            state.entries.forEach(
                (version, entry) -> {
                  entry.invalidate();
                  entry.cancel();
                  if (!entry.waiters().isEmpty()) {
                    batch.add(state.owner, endpoint, version, entry);
                  }
                }));
    return requests(batch, nowMillis);
  }

  private List<GrantCommand> onReply(GrantReply reply, long nowMillis) {
    List<GrantCommand> commands = new ArrayList<>();
    GrantBatch resends = new GrantBatch();
    for (GrantAnswer answer : reply.answers()) {
      EndpointState state = endpoints.get(answer.endpoint());
      boolean expected = state != null && state.owner.equals(reply.owner().host());
      if (expected) {
        entry(answer.endpoint(), answer.version())
            .filter(entry -> entry.answers(reply.sequence()))
            .ifPresent(
                entry ->
                    onAnswer(state, entry, answer, reply.owner().host(), nowMillis, resends)
                        .forEach(commands::add));
      }
    }
    commands.addAll(requests(resends, nowMillis));
    return commands;
  }

  private List<GrantCommand> onAnswer(
      EndpointState state,
      GrantEntry entry,
      GrantAnswer answer,
      HostId from,
      long nowMillis,
      GrantBatch resends) {
    switch (answer.outcome()) {
      case GRANTED:
        entry.granted(answer.millis(), settings.driftMarginMillis());
        return ready(answer.endpoint(), answer.version(), entry, nowMillis);
      case LOADING:
        entry.loading(nowMillis, settings.loadMillis());
        return List.of();
      default:
        entry.cancel();
        boolean elsewhere = answer.owner().filter(owner -> !owner.equals(from)).isPresent();
        if (elsewhere && entry.redirect(MAXIMUM_REDIRECTS)) {
          return redirect(state, answer, nowMillis, resends);
        }
        entry.refused();
        GrantOutcome reason = answer.outcome();
        return refuse(answer.endpoint(), answer.version(), entry, reason, answer.millis(), from);
    }
  }

  /** Changes to the owner that the answer names and sends all waiting versions to it. */
  private List<GrantCommand> redirect(
      EndpointState state, GrantAnswer answer, long nowMillis, GrantBatch resends) {
    moveTo(state, answer.owner().orElseThrow());
    askAgain(state, answer.endpoint(), nowMillis, resends);
    return List.of();
  }

  private List<GrantCommand> onAnnouncement(OwnerAnnouncement announcement, long nowMillis) {
    HostId owner = announcement.owner().host();
    GrantBatch resends = new GrantBatch();
    List<EndpointGrants> held = new ArrayList<>();
    for (EndpointId endpoint : announcement.endpoints()) {
      EndpointState state = endpoints.computeIfAbsent(endpoint, absent -> new EndpointState(owner));
      state.announced = true;
      // Replies in transit were sent before the announcement and are not part of the registration,
      // so they are discarded.
      moveTo(state, owner);
      held.add(new EndpointGrants(endpoint, state.held(nowMillis)));
      askAgain(state, endpoint, nowMillis, resends);
    }
    sequence++;
    List<GrantCommand> commands = new ArrayList<>();
    long uptimeMillis = nowMillis - startedMillis;
    commands.add(
        new GrantCommand.Send(owner, new GrantRegistration(self, sequence, uptimeMillis, held)));
    commands.addAll(requests(resends, nowMillis));
    return commands;
  }

  private static void moveTo(EndpointState state, HostId owner) {
    state.owner = owner;
    state.entries.values().forEach(GrantEntry::cancel);
  }

  private static void askAgain(
      EndpointState state, EndpointId endpoint, long nowMillis, GrantBatch resends) {
    state.entries.forEach(
        (version, entry) -> {
          if (!entry.waiters().isEmpty()) {
            resends.add(state.owner, endpoint, version, entry);
          }
        });
  }

  private static List<GrantCommand> ready(
      EndpointId endpoint, AdapterVersion version, GrantEntry entry, long nowMillis) {
    List<GrantCommand> commands = new ArrayList<>();
    if (!entry.valid(nowMillis)) {
      return commands;
    }
    for (RequestId waiter : entry.waiters()) {
      entry.start(nowMillis);
      commands.add(new GrantCommand.Ready(waiter, endpoint, version));
    }
    entry.waiters().clear();
    return commands;
  }

  private static List<GrantCommand> refuse(
      EndpointId endpoint,
      AdapterVersion version,
      GrantEntry entry,
      GrantOutcome reason,
      long retryAfterMillis,
      HostId owner) {
    List<GrantCommand> commands = new ArrayList<>();
    for (RequestId waiter : entry.waiters()) {
      commands.add(
          new GrantCommand.Refused(waiter, endpoint, version, reason, retryAfterMillis, owner));
    }
    entry.waiters().clear();
    return commands;
  }

  private void giveUpOverdue(
      EndpointId endpoint, EndpointState state, long nowMillis, List<GrantCommand> commands) {
    state.entries.forEach(
        (version, entry) -> {
          if (entry.overdue(nowMillis)) {
            entry.cancel();
            state.announced = false;
            commands.addAll(
                refuse(endpoint, version, entry, GrantOutcome.UNREACHABLE, 0, state.owner));
          }
        });
  }

  private List<GrantCommand> requests(GrantBatch batch, long nowMillis) {
    List<GrantCommand> commands = new ArrayList<>();
    for (HostId owner : batch.owners()) {
      sequence++;
      List<EndpointDemand> demands = batch.demands(owner);
      batch
          .entries(owner)
          .forEach(entry -> entry.sent(sequence, nowMillis, settings.answerMillis()));
      PeerMessage message = new GrantRequest(self, sequence, demands);
      commands.add(new GrantCommand.Send(owner, message));
    }
    return commands;
  }

  private List<GrantCommand> releases(GrantBatch batch) {
    List<GrantCommand> commands = new ArrayList<>();
    for (HostId owner : batch.owners()) {
      sequence++;
      List<EndpointVersions> versions = batch.versions(owner);
      commands.add(new GrantCommand.Send(owner, new GrantRelease(self, sequence, versions)));
      for (EndpointVersions released : versions) {
        endpoints.get(released.endpoint()).entries.keySet().removeAll(released.versions());
      }
    }
    return commands;
  }

  private Optional<GrantEntry> entry(EndpointId endpoint, AdapterVersion version) {
    return Optional.ofNullable(endpoints.get(endpoint)).map(state -> state.entries.get(version));
  }

  /** The grants on one endpoint and its owner. */
  private static final class EndpointState {
    private final Map<AdapterVersion, GrantEntry> entries = new TreeMap<>();
    private HostId owner;
    private boolean announced;

    EndpointState(HostId owner) {
      this.owner = owner;
    }

    /** Returns whether no reply is pending and no owner has announced itself. */
    boolean quiet() {
      return !announced && entries.values().stream().noneMatch(GrantEntry::pending);
    }

    List<HeldGrant> held(long nowMillis) {
      List<HeldGrant> held = new ArrayList<>();
      entries.forEach(
          (version, entry) -> {
            if (entry.valid(nowMillis) || entry.inFlight() > 0) {
              held.add(new HeldGrant(version, entry.remainingMillis(nowMillis), entry.inFlight()));
            }
          });
      return held;
    }
  }
}
