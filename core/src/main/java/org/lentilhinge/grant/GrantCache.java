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
  private final long startedAtMillis;
  private final Map<EndpointId, EndpointState> endpoints = new TreeMap<>();
  private long sequence;
  private long idleTimeoutMillis;

  /**
   * Creates an empty cache.
   *
   * @param self the incarnation of this host
   * @param settings the intervals
   * @param nowMillis the monotonic time, in milliseconds
   */
  public GrantCache(HostIncarnation self, GrantSettings settings, long nowMillis) {
    this.self = self;
    this.settings = settings;
    this.startedAtMillis = nowMillis;
    this.idleTimeoutMillis = settings.idleTimeoutMillis();
    this.sequence = MessageSequence.baseNumber(self);
  }

  /**
   * Acquires the use of a version for one request.
   *
   * @param request the request
   * @param endpoint the endpoint
   * @param version the version
   * @param owner the owner to use if no host has announced itself as owner of the endpoint
   * @param nowMillis the monotonic time, in milliseconds
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
    if (entry.isValid(nowMillis)) {
      entry.recordStart(nowMillis);
      return List.of(new GrantCommand.Ready(request, endpoint, version));
    }
    entry.waiters().add(request);
    if (entry.isPending()) {
      return List.of();
    }
    if (state.canChangeOwner()) {
      state.owner = owner;
    }
    GrantBatch batch = new GrantBatch();
    batch.add(state.owner, endpoint, version, entry);
    return requestCommands(batch, nowMillis);
  }

  /**
   * Returns whether a request that was reported as ready may still be dispatched.
   *
   * @param endpoint the endpoint
   * @param version the version
   * @param nowMillis the monotonic time in milliseconds, read immediately before the write
   * @return whether the grant is still valid
   */
  public boolean mayDispatch(EndpointId endpoint, AdapterVersion version, long nowMillis) {
    return findEntry(endpoint, version).filter(entry -> entry.isValid(nowMillis)).isPresent();
  }

  /**
   * Removes a waiting request whose caller has disconnected or that was sent to another endpoint.
   *
   * @param request the request
   * @param endpoint the endpoint
   * @param version the version
   */
  public void abandon(RequestId request, EndpointId endpoint, AdapterVersion version) {
    findEntry(endpoint, version).ifPresent(entry -> entry.waiters().remove(request));
  }

  /**
   * Records the end of a request: its response is complete, the engine has confirmed its
   * cancellation, or it was not dispatched.
   *
   * @param endpoint the endpoint
   * @param version the version
   * @param nowMillis the monotonic time, in milliseconds
   * @throws IllegalStateException if no request is in flight
   */
  public void finish(EndpointId endpoint, AdapterVersion version, long nowMillis) {
    findEntry(endpoint, version)
        .orElseThrow(() -> new IllegalStateException("no grant of " + version + " on " + endpoint))
        .recordEnd(nowMillis);
  }

  /**
   * Returns the number of requests in flight on a version.
   *
   * @param endpoint the endpoint
   * @param version the version
   * @return the number of requests
   */
  public int inFlight(EndpointId endpoint, AdapterVersion version) {
    return findEntry(endpoint, version).map(GrantEntry::inFlight).orElse(0);
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
   * Handles a message from an owner.
   *
   * @param message the message
   * @param nowMillis the monotonic time, in milliseconds
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

  /** Releases a grant that is not in use; a reply in transit is then ignored. */
  private List<GrantCommand> onRecall(GrantRecall recall) {
    GrantBatch batch = new GrantBatch();
    findEntry(recall.endpoint(), recall.version())
        .filter(GrantEntry::isUnused)
        .ifPresent(entry -> batch.add(recall.owner(), recall.endpoint(), recall.version(), entry));
    return releaseCommands(batch);
  }

  /**
   * Renews grants in use, releases idle grants and refuses requests whose owner has not replied.
   *
   * @param nowMillis the monotonic time, in milliseconds
   * @return the commands
   */
  public List<GrantCommand> onTick(long nowMillis) {
    List<GrantCommand> commands = new ArrayList<>();
    GrantBatch renewals = new GrantBatch();
    GrantBatch releases = new GrantBatch();
    endpoints.forEach(
        (endpoint, state) -> {
          refuseOverdue(endpoint, state, nowMillis, commands);
          state.entries.forEach(
              (version, entry) -> {
                if (entry.isIdle(nowMillis, idleTimeoutMillis)) {
                  releases.add(state.owner, endpoint, version, entry);
                } else if (entry.isDueForRenewal(
                    nowMillis, settings.grantMillis(), idleTimeoutMillis)) {
                  renewals.add(state.owner, endpoint, version, entry);
                }
              });
        });
    commands.addAll(requestCommands(renewals, nowMillis));
    commands.addAll(releaseCommands(releases));
    return commands;
  }

  /**
   * Releases each grant as soon as it has no request in flight, because this host is stopping.
   *
   * @param nowMillis the monotonic time, in milliseconds
   * @return the commands
   */
  public List<GrantCommand> leave(long nowMillis) {
    idleTimeoutMillis = 0;
    return onTick(nowMillis);
  }

  /**
   * Invalidates all grants. Requests in flight continue.
   *
   * @param nowMillis the monotonic time, in milliseconds
   * @return the commands
   */
  public List<GrantCommand> onClockJump(long nowMillis) {
    GrantBatch batch = new GrantBatch();
    endpoints.forEach(
        (endpoint, state) ->
            state.entries.forEach(
                (version, entry) -> {
                  entry.invalidate();
                  entry.cancelPending();
                  if (!entry.waiters().isEmpty()) {
                    batch.add(state.owner, endpoint, version, entry);
                  }
                }));
    return requestCommands(batch, nowMillis);
  }

  private List<GrantCommand> onReply(GrantReply reply, long nowMillis) {
    List<GrantCommand> commands = new ArrayList<>();
    GrantBatch resends = new GrantBatch();
    for (GrantAnswer answer : reply.answers()) {
      EndpointState state = endpoints.get(answer.endpoint());
      boolean expected = state != null && state.owner.equals(reply.owner().host());
      if (expected) {
        findEntry(answer.endpoint(), answer.version())
            .filter(entry -> entry.isAnsweredBy(reply.sequence()))
            .ifPresent(
                entry ->
                    onAnswer(state, entry, answer, reply.owner().host(), nowMillis, resends)
                        .forEach(commands::add));
      }
    }
    commands.addAll(requestCommands(resends, nowMillis));
    return commands;
  }

  private List<GrantCommand> onAnswer(
      EndpointState state,
      GrantEntry entry,
      GrantAnswer answer,
      HostId sender,
      long nowMillis,
      GrantBatch resends) {
    switch (answer.outcome()) {
      case GRANTED:
        entry.recordGrant(answer.durationOrRetryMillis(), settings.driftMarginMillis());
        return startWaiters(answer.endpoint(), answer.version(), entry, nowMillis);
      case LOADING:
        entry.extendReplyDeadline(nowMillis, settings.loadTimeoutMillis());
        return List.of();
      default:
        entry.cancelPending();
        boolean hasOtherOwner = answer.owner().filter(owner -> !owner.equals(sender)).isPresent();
        if (hasOtherOwner && entry.tryRedirect(MAXIMUM_REDIRECTS)) {
          return redirect(state, answer, nowMillis, resends);
        }
        entry.recordRefusal();
        GrantOutcome reason = answer.outcome();
        return refuseWaiters(
            answer.endpoint(),
            answer.version(),
            entry,
            reason,
            answer.durationOrRetryMillis(),
            sender);
    }
  }

  /** Changes to the owner that the answer names and sends all waiting versions to it. */
  private List<GrantCommand> redirect(
      EndpointState state, GrantAnswer answer, long nowMillis, GrantBatch resends) {
    changeOwner(state, answer.owner().orElseThrow());
    addWaitingEntries(state, answer.endpoint(), nowMillis, resends);
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
      changeOwner(state, owner);
      held.add(new EndpointGrants(endpoint, state.heldGrants(nowMillis)));
      addWaitingEntries(state, endpoint, nowMillis, resends);
    }
    sequence++;
    List<GrantCommand> commands = new ArrayList<>();
    long uptimeMillis = nowMillis - startedAtMillis;
    commands.add(
        new GrantCommand.Send(owner, new GrantRegistration(self, sequence, uptimeMillis, held)));
    commands.addAll(requestCommands(resends, nowMillis));
    return commands;
  }

  private static void changeOwner(EndpointState state, HostId owner) {
    state.owner = owner;
    state.entries.values().forEach(GrantEntry::cancelPending);
  }

  private static void addWaitingEntries(
      EndpointState state, EndpointId endpoint, long nowMillis, GrantBatch resends) {
    state.entries.forEach(
        (version, entry) -> {
          if (!entry.waiters().isEmpty()) {
            resends.add(state.owner, endpoint, version, entry);
          }
        });
  }

  private static List<GrantCommand> startWaiters(
      EndpointId endpoint, AdapterVersion version, GrantEntry entry, long nowMillis) {
    List<GrantCommand> commands = new ArrayList<>();
    if (!entry.isValid(nowMillis)) {
      return commands;
    }
    for (RequestId waiter : entry.waiters()) {
      entry.recordStart(nowMillis);
      commands.add(new GrantCommand.Ready(waiter, endpoint, version));
    }
    entry.waiters().clear();
    return commands;
  }

  private static List<GrantCommand> refuseWaiters(
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

  private void refuseOverdue(
      EndpointId endpoint, EndpointState state, long nowMillis, List<GrantCommand> commands) {
    state.entries.forEach(
        (version, entry) -> {
          if (entry.isOverdue(nowMillis)) {
            entry.cancelPending();
            state.announced = false;
            commands.addAll(
                refuseWaiters(endpoint, version, entry, GrantOutcome.UNREACHABLE, 0, state.owner));
          }
        });
  }

  private List<GrantCommand> requestCommands(GrantBatch batch, long nowMillis) {
    List<GrantCommand> commands = new ArrayList<>();
    for (HostId owner : batch.owners()) {
      sequence++;
      List<EndpointDemand> demands = batch.demands(owner);
      batch
          .entries(owner)
          .forEach(
              entry -> entry.recordRequestSent(sequence, nowMillis, settings.replyTimeoutMillis()));
      PeerMessage message = new GrantRequest(self, sequence, demands);
      commands.add(new GrantCommand.Send(owner, message));
    }
    return commands;
  }

  private List<GrantCommand> releaseCommands(GrantBatch batch) {
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

  private Optional<GrantEntry> findEntry(EndpointId endpoint, AdapterVersion version) {
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
    boolean canChangeOwner() {
      return !announced && entries.values().stream().noneMatch(GrantEntry::isPending);
    }

    List<HeldGrant> heldGrants(long nowMillis) {
      List<HeldGrant> held = new ArrayList<>();
      entries.forEach(
          (version, entry) -> {
            if (entry.isValid(nowMillis) || entry.inFlight() > 0) {
              held.add(new HeldGrant(version, entry.remainingMillis(nowMillis), entry.inFlight()));
            }
          });
      return held;
    }
  }
}
