package org.lentilhinge.follow;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.lentilhinge.configuration.Configuration;
import org.lentilhinge.configuration.ConfigurationCheckResult;
import org.lentilhinge.configuration.ConfigurationChecker;
import org.lentilhinge.configuration.EntryReader;
import org.lentilhinge.configuration.ParsedText;
import org.lentilhinge.finding.FindingCollector;
import org.lentilhinge.finding.Findings;
import org.lentilhinge.finding.Place;
import org.lentilhinge.identity.ConfigurationVersion;
import org.lentilhinge.identity.HostId;

/**
 * The state machine with which an entry host follows the published configuration. It accepts events
 * and returns commands; the caller executes the commands and reports their results as further
 * events. Not thread-safe.
 */
public final class ConfigurationFollower {

  /** The interval between {@link FollowEvent.TimerElapsed} events, in milliseconds. */
  public static final long TICK_MILLIS = 100;

  private static final long INITIAL_QUERY_MILLIS = 2_000;
  private static final long ANNOUNCE_INTERVAL_MILLIS = 5_000;
  private static final long STALL_TIMEOUT_MILLIS = 10_000;
  private static final int OUTSIDE_PEERS_QUERIED = 2;

  private final HostId self;
  private final ReaderSelector readerSelector;
  private final EntryReader entryReader;
  private final ConfigurationChecker checker;
  private final RandomGenerator random;
  private final PartStore store = new PartStore();
  private final CallRateLimiter callLimiter = new CallRateLimiter();
  private final WatchScheduler watch;
  private final PartFetcher fetcher;
  private final PeerVersions peers;
  private final AssemblySelector assemblySelector;
  private final List<FollowCommand> commands = new ArrayList<>();
  private Optional<Configuration> configuration = Optional.empty();
  private PublishedVersion appliedVersion = PublishedVersion.NONE;
  private Optional<PublishedVersion> rejectedVersion = Optional.empty();
  private Findings rejectionFindings = Findings.NONE;
  private boolean reader;
  private boolean queryingPeers = true;
  private long queryEndsAtMillis = Long.MAX_VALUE;
  private long nextAnnounceAtMillis;
  private long staleAnswers;
  private long damagedParts;

  /**
   * Creates a follower without a configuration.
   *
   * @param self this host
   * @param readerSelector selects the zone's readers
   * @param entryReader splits texts into entries
   * @param checker checks complete configurations
   * @param random the source of jitter and of random choices among peers
   */
  public ConfigurationFollower(
      HostId self,
      ReaderSelector readerSelector,
      EntryReader entryReader,
      ConfigurationChecker checker,
      RandomGenerator random) {
    this.self = self;
    this.readerSelector = readerSelector;
    this.entryReader = entryReader;
    this.checker = checker;
    this.random = random;
    this.watch = new WatchScheduler(random);
    this.fetcher = new PartFetcher(random);
    this.peers = new PeerVersions(random);
    this.assemblySelector = new AssemblySelector(store, entryReader, STALL_TIMEOUT_MILLIS);
  }

  /**
   * Returns the applied configuration.
   *
   * @return the configuration, or empty if none has been applied yet
   */
  public Optional<Configuration> configuration() {
    return configuration;
  }

  /**
   * Returns the current status.
   *
   * @return the status
   */
  public FollowStatus status() {
    return new FollowStatus(
        appliedVersion,
        reader,
        watch.failure(),
        rejectedVersion,
        rejectionFindings,
        assemblySelector.current().map(VersionAssembly::version),
        assemblySelector.current().map(assembly -> assembly.missing().size()).orElse(0),
        staleAnswers,
        damagedParts);
  }

  /**
   * Handles an event.
   *
   * @param event the event
   * @param nowMillis the monotonic time, in milliseconds
   * @return the commands to execute, in this order
   */
  public List<FollowCommand> handle(FollowEvent event, long nowMillis) {
    commands.clear();
    if (queryEndsAtMillis == Long.MAX_VALUE) {
      queryEndsAtMillis = nowMillis + INITIAL_QUERY_MILLIS;
      nextAnnounceAtMillis = nowMillis + random.nextLong(ANNOUNCE_INTERVAL_MILLIS);
    }
    dispatch(event, nowMillis);
    issueDueCommands(nowMillis);
    return List.copyOf(commands);
  }

  private void dispatch(FollowEvent event, long nowMillis) {
    if (event instanceof FollowEvent.TimerElapsed) {
      tick(nowMillis);
    } else if (event instanceof FollowEvent.PeersChanged changed) {
      changePeers(changed);
    } else if (event instanceof FollowEvent.WatchAnswered answered) {
      handleWatchResponse(answered, nowMillis);
    } else if (event instanceof FollowEvent.WatchUnchanged) {
      watch.onUnchanged(nowMillis);
    } else if (event instanceof FollowEvent.WatchFailed failure) {
      watch.onFailure(failure.reason(), nowMillis);
    } else if (event instanceof FollowEvent.PartRead read) {
      acceptPart(read.digest(), read.text(), nowMillis);
    } else if (event instanceof FollowEvent.PartReadFailed failure) {
      fetcher.onServiceFailure(failure.digest(), nowMillis);
    } else if (event instanceof FollowEvent.PeerMessageReceived received) {
      handlePeerMessage(received, nowMillis);
    }
  }

  private void tick(long nowMillis) {
    queryingPeers = queryingPeers && nowMillis < queryEndsAtMillis && !peers.allZonePeersReported();
    fetcher.expire(nowMillis).forEach(peers::removeVersion);
    if (assemblySelector.isStalled(nowMillis)) {
      assemblySelector.postpone(peers, appliedVersion, nowMillis);
    }
    if (nowMillis >= nextAnnounceAtMillis) {
      announceVersion();
      nextAnnounceAtMillis =
          nowMillis + ANNOUNCE_INTERVAL_MILLIS / 2 + random.nextLong(ANNOUNCE_INTERVAL_MILLIS / 2);
    }
  }

  private void announceVersion() {
    peers.randomZonePeer().ifPresent(this::sendVersion);
    if (reader) {
      peers.randomOutsidePeer().ifPresent(this::sendVersion);
    }
  }

  private void sendVersion(HostId peer) {
    commands.add(new FollowCommand.Send(peer, new VersionNotification(appliedVersion)));
  }

  private void changePeers(FollowEvent.PeersChanged changed) {
    List<HostId> queried = peers.updatePeers(changed.zonePeers(), changed.outsidePeers());
    for (int count = 0;
        appliedVersion.equals(PublishedVersion.NONE) && count < OUTSIDE_PEERS_QUERIED;
        count++) {
      peers.randomOutsidePeer().ifPresent(queried::add);
    }
    queried.forEach(peer -> commands.add(new FollowCommand.Send(peer, new VersionRequest())));
    Set<HostId> liveHosts = new HashSet<>(changed.zonePeers());
    liveHosts.add(self);
    reader = readerSelector.isReader(self, liveHosts);
    callLimiter.setMajorityVisible(2 * liveHosts.size() > changed.zoneSize());
  }

  private void handleWatchResponse(FollowEvent.WatchAnswered answered, long nowMillis) {
    if (!watch.onResponse(answered.revision(), nowMillis)) {
      return;
    }
    Part root = Part.of(answered.text());
    ParsedText text = entryReader.read("configuration", answered.text());
    Optional<ConfigurationVersion> version = Manifest.of(text).version();
    if (version.isEmpty()) {
      reject(
          new PublishedVersion(ConfigurationVersion.NONE, root.digest()),
          missingVersionFindings(text));
      return;
    }
    PublishedVersion published = new PublishedVersion(version.get(), root.digest());
    if (appliedVersion.isAfter(published)) {
      staleAnswers++;
    } else if (isCandidate(published)) {
      store.put(root);
      assemblySelector.offer(published, nowMillis);
      assemblySelector.receive(root.digest(), nowMillis);
    }
  }

  private static Findings missingVersionFindings(ParsedText text) {
    FindingCollector collector = new FindingCollector();
    collector.addAll(text.findings());
    collector.error(
        Place.ofFile("configuration"),
        "[configuration] version is missing or not a positive whole number");
    return collector.findings();
  }

  private boolean isCandidate(PublishedVersion published) {
    return published.isAfter(appliedVersion) && !rejectedVersion.equals(Optional.of(published));
  }

  private void handlePeerMessage(FollowEvent.PeerMessageReceived received, long nowMillis) {
    if (received.message() instanceof VersionRequest) {
      sendVersion(received.peer());
    } else if (received.message() instanceof VersionNotification notification) {
      handleVersion(received.peer(), notification.version(), nowMillis);
    } else if (received.message() instanceof PartsRequest request) {
      for (PartDigest digest : request.digests()) {
        PartResponse response = new PartResponse(digest, store.text(digest));
        commands.add(new FollowCommand.Send(received.peer(), response));
      }
    } else if (received.message() instanceof PartResponse response) {
      handlePart(received.peer(), response, nowMillis);
    }
  }

  private void handleVersion(HostId peer, PublishedVersion version, long nowMillis) {
    peers.recordVersion(peer, version);
    if (appliedVersion.isAfter(version)) {
      sendVersion(peer);
    } else if (isCandidate(version)) {
      assemblySelector.offer(version, nowMillis);
    }
  }

  private void handlePart(HostId peer, PartResponse response, long nowMillis) {
    if (response.text().isPresent()
        && acceptPart(response.digest(), response.text().get(), nowMillis)) {
      return;
    }
    fetcher.onPeerFailure(response.digest(), peer);
    peers.removeVersion(peer);
  }

  private boolean acceptPart(PartDigest digest, String text, long nowMillis) {
    Part part = Part.of(text);
    if (!part.digest().equals(digest)) {
      damagedParts++;
      fetcher.onServiceFailure(digest, nowMillis);
      return false;
    }
    fetcher.onPartReceived(digest);
    if (assemblySelector.isMissing(digest)) {
      store.put(part);
      assemblySelector.receive(digest, nowMillis);
    }
    return true;
  }

  private void issueDueCommands(long nowMillis) {
    assemblySelector.completeAssembly().ifPresent(assembly -> finishAssembly(assembly, nowMillis));
    if (reader && !queryingPeers) {
      watch.start(callLimiter, nowMillis).ifPresent(commands::add);
    } else if (!reader && watch.isRunning()) {
      watch.stop();
      commands.add(new FollowCommand.StopWatch());
    }
    assemblySelector.current().ifPresent(assembly -> fetch(assembly, nowMillis));
  }

  private void fetch(VersionAssembly assembly, long nowMillis) {
    List<HostId> sources = peers.peersWithVersion(assembly.version());
    Optional<CallRateLimiter> calls =
        reader && !queryingPeers ? Optional.of(callLimiter) : Optional.empty();
    commands.addAll(fetcher.fetch(assembly.missing(), sources, calls, nowMillis));
  }

  private void finishAssembly(VersionAssembly assembly, long nowMillis) {
    ConfigurationCheckResult result = checker.check(assembly.join());
    fetcher.clear();
    assemblySelector.finish(nowMillis);
    if (result.configuration().isEmpty()) {
      reject(assembly.version(), result.findings());
    } else if (result.configuration().get().version().equals(assembly.version().version())) {
      accept(assembly, result);
    } else {
      // A peer announced a version number that differs from the version number in the text.
      damagedParts++;
    }
    assemblySelector.dropUnlessAfter(appliedVersion);
  }

  private void accept(VersionAssembly assembly, ConfigurationCheckResult result) {
    appliedVersion = assembly.version();
    configuration = result.configuration();
    if (rejectedVersion.isPresent() && appliedVersion.isAfter(rejectedVersion.get())) {
      rejectedVersion = Optional.empty();
      rejectionFindings = Findings.NONE;
    }
    store.retain(assemblySelector.digestsToRetain(assembly));
    commands.add(new FollowCommand.Apply(appliedVersion, configuration.get(), result.findings()));
    peers.zonePeers().stream().sorted().forEach(this::sendVersion);
  }

  private void reject(PublishedVersion version, Findings findings) {
    rejectedVersion = Optional.of(version);
    rejectionFindings = findings;
    commands.add(new FollowCommand.Reject(version, findings));
  }
}
