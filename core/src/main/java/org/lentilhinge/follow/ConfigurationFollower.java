package org.lentilhinge.follow;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.lentilhinge.configuration.Configuration;
import org.lentilhinge.configuration.ConfigurationChecker;
import org.lentilhinge.configuration.ConfigurationVerdict;
import org.lentilhinge.configuration.EntryReader;
import org.lentilhinge.configuration.EntryText;
import org.lentilhinge.finding.FindingCollector;
import org.lentilhinge.finding.Findings;
import org.lentilhinge.finding.Place;
import org.lentilhinge.identity.ConfigurationVersion;
import org.lentilhinge.identity.HostId;

/**
 * State machine by which one entry host follows the published configuration. It accepts events and
 * returns commands; the caller executes the commands and reports their results as further events.
 * Not thread-safe.
 */
public final class ConfigurationFollower {

  /** The interval between {@link FollowEvent.Ticked} events, in milliseconds. */
  public static final long TICK_MILLIS = 100;

  private static final long ASK_MILLIS = 2_000;
  private static final long TELL_MILLIS = 5_000;
  private static final long STALL_MILLIS = 10_000;
  private static final int OUTSIDE_ASKED = 2;

  private final HostId self;
  private final ReaderChoice readerChoice;
  private final EntryReader entryReader;
  private final ConfigurationChecker checker;
  private final RandomGenerator random;
  private final PartStore store = new PartStore();
  private final CallBudget budget = new CallBudget();
  private final WatchKeeper watch;
  private final PartFetcher fetcher;
  private final PeerVersions peers;
  private final Gathering gathering;
  private final List<FollowCommand> commands = new ArrayList<>();
  private Optional<Configuration> configuration = Optional.empty();
  private PublishedVersion inForce = PublishedVersion.NONE;
  private Optional<PublishedVersion> rejected = Optional.empty();
  private Findings rejection = Findings.NONE;
  private boolean reader;
  private boolean asking = true;
  private long askUntilMillis = Long.MAX_VALUE;
  private long tellAtMillis;
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
      ReaderChoice readerSelector,
      EntryReader entryReader,
      ConfigurationChecker checker,
      RandomGenerator random) {
    this.self = self;
    this.readerChoice = readerSelector;
    this.entryReader = entryReader;
    this.checker = checker;
    this.random = random;
    this.watch = new WatchKeeper(random);
    this.fetcher = new PartFetcher(random);
    this.peers = new PeerVersions(random);
    this.gathering = new Gathering(store, entryReader, STALL_MILLIS);
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
        inForce,
        reader,
        watch.failure(),
        rejected,
        rejection,
        gathering.current().map(Assembly::version),
        gathering.current().map(assembly -> assembly.missing().size()).orElse(0),
        staleAnswers,
        damagedParts);
  }

  /**
   * Handles an event.
   *
   * @param event the event
   * @param nowMillis the monotonic time
   * @return the commands to execute, in this order
   */
  public List<FollowCommand> handle(FollowEvent event, long nowMillis) {
    commands.clear();
    if (askUntilMillis == Long.MAX_VALUE) {
      askUntilMillis = nowMillis + ASK_MILLIS;
      tellAtMillis = nowMillis + random.nextLong(TELL_MILLIS);
    }
    dispatch(event, nowMillis);
    proceed(nowMillis);
    return List.copyOf(commands);
  }

  private void dispatch(FollowEvent event, long nowMillis) {
    if (event instanceof FollowEvent.Ticked) {
      tick(nowMillis);
    } else if (event instanceof FollowEvent.PeersChanged changed) {
      changePeers(changed);
    } else if (event instanceof FollowEvent.WatchAnswered answer) {
      takeWatchAnswer(answer, nowMillis);
    } else if (event instanceof FollowEvent.WatchUnchanged) {
      watch.unchanged(nowMillis);
    } else if (event instanceof FollowEvent.WatchFailed failure) {
      watch.failed(failure.reason(), nowMillis);
    } else if (event instanceof FollowEvent.PartRead read) {
      takePart(read.digest(), read.text(), nowMillis);
    } else if (event instanceof FollowEvent.PartReadFailed failure) {
      fetcher.serviceFailed(failure.digest(), nowMillis);
    } else if (event instanceof FollowEvent.PeerSaid said) {
      hear(said, nowMillis);
    }
  }

  private void tick(long nowMillis) {
    asking = asking && nowMillis < askUntilMillis && !peers.allOfZoneTold();
    fetcher.expire(nowMillis).forEach(peers::forget);
    if (gathering.isStalled(nowMillis)) {
      gathering.postpone(peers, inForce, nowMillis);
    }
    if (nowMillis >= tellAtMillis) {
      tellSome();
      tellAtMillis = nowMillis + TELL_MILLIS / 2 + random.nextLong(TELL_MILLIS / 2);
    }
  }

  private void tellSome() {
    peers.anyOfZone().ifPresent(this::tell);
    if (reader) {
      peers.anyOutside().ifPresent(this::tell);
    }
  }

  private void tell(HostId peer) {
    commands.add(new FollowCommand.Send(peer, new VersionTold(inForce)));
  }

  private void changePeers(FollowEvent.PeersChanged changed) {
    List<HostId> queried = peers.change(changed.zonePeers(), changed.outsidePeers());
    for (int count = 0; inForce.equals(PublishedVersion.NONE) && count < OUTSIDE_ASKED; count++) {
      peers.anyOutside().ifPresent(queried::add);
    }
    queried.forEach(peer -> commands.add(new FollowCommand.Send(peer, new VersionAsked())));
    Set<HostId> liveHosts = new HashSet<>(changed.zonePeers());
    liveHosts.add(self);
    reader = readerChoice.isReader(self, liveHosts);
    budget.setWide(2 * liveHosts.size() > changed.zoneSize());
  }

  private void takeWatchAnswer(FollowEvent.WatchAnswered answer, long nowMillis) {
    if (!watch.answered(answer.revision(), nowMillis)) {
      return;
    }
    Part root = Part.of(answer.text());
    EntryText text = entryReader.read("configuration", answer.text());
    Optional<ConfigurationVersion> version = Manifest.of(text).version();
    if (version.isEmpty()) {
      reject(new PublishedVersion(ConfigurationVersion.NONE, root.digest()), noVersion(text));
      return;
    }
    PublishedVersion published = new PublishedVersion(version.get(), root.digest());
    if (inForce.isAfter(published)) {
      staleAnswers++;
    } else if (isWanted(published)) {
      store.put(root);
      gathering.offer(published, nowMillis);
      gathering.receive(root.digest(), nowMillis);
    }
  }

  private static Findings noVersion(EntryText text) {
    FindingCollector collector = new FindingCollector();
    collector.addAll(text.findings());
    collector.error(
        Place.ofFile("configuration"),
        "[configuration] version is missing or not a positive whole number");
    return collector.findings();
  }

  private boolean isWanted(PublishedVersion published) {
    return published.isAfter(inForce) && !rejected.equals(Optional.of(published));
  }

  private void hear(FollowEvent.PeerSaid received, long nowMillis) {
    if (received.message() instanceof VersionAsked) {
      tell(received.peer());
    } else if (received.message() instanceof VersionTold notification) {
      hearVersion(received.peer(), notification.version(), nowMillis);
    } else if (received.message() instanceof PartsAsked request) {
      for (PartDigest digest : request.digests()) {
        PartGiven response = new PartGiven(digest, store.text(digest));
        commands.add(new FollowCommand.Send(received.peer(), response));
      }
    } else if (received.message() instanceof PartGiven response) {
      hearPart(received.peer(), response, nowMillis);
    }
  }

  private void hearVersion(HostId peer, PublishedVersion version, long nowMillis) {
    peers.tell(peer, version);
    if (inForce.isAfter(version)) {
      tell(peer);
    } else if (isWanted(version)) {
      gathering.offer(version, nowMillis);
    }
  }

  private void hearPart(HostId peer, PartGiven response, long nowMillis) {
    if (response.text().isPresent()
        && takePart(response.digest(), response.text().get(), nowMillis)) {
      return;
    }
    fetcher.peerFailed(response.digest(), peer);
    peers.forget(peer);
  }

  private boolean takePart(PartDigest digest, String text, long nowMillis) {
    Part part = Part.of(text);
    if (!part.digest().equals(digest)) {
      damagedParts++;
      fetcher.serviceFailed(digest, nowMillis);
      return false;
    }
    fetcher.received(digest);
    if (gathering.isMissing(digest)) {
      store.put(part);
      gathering.receive(digest, nowMillis);
    }
    return true;
  }

  private void proceed(long nowMillis) {
    gathering.whole().ifPresent(assembly -> conclude(assembly, nowMillis));
    if (reader && !asking) {
      watch.start(budget, nowMillis).ifPresent(commands::add);
    } else if (!reader && watch.isRunning()) {
      watch.stop();
      commands.add(new FollowCommand.StopWatch());
    }
    gathering.current().ifPresent(assembly -> fetch(assembly, nowMillis));
  }

  private void fetch(Assembly assembly, long nowMillis) {
    List<HostId> sources = peers.holders(assembly.version());
    Optional<CallBudget> calls = reader && !asking ? Optional.of(budget) : Optional.empty();
    commands.addAll(fetcher.fetch(assembly.missing(), sources, calls, nowMillis));
  }

  private void conclude(Assembly assembly, long nowMillis) {
    ConfigurationVerdict verdict = checker.check(assembly.join());
    fetcher.clear();
    gathering.finish(nowMillis);
    if (verdict.configuration().isEmpty()) {
      reject(assembly.version(), verdict.findings());
    } else if (verdict.configuration().get().version().equals(assembly.version().version())) {
      accept(assembly, verdict);
    } else {
      // A peer announced a version number that differs from the one stated in the text.
      damagedParts++;
    }
    gathering.dropUnlessAfter(inForce);
  }

  private void accept(Assembly assembly, ConfigurationVerdict verdict) {
    inForce = assembly.version();
    configuration = verdict.configuration();
    if (rejected.isPresent() && inForce.isAfter(rejected.get())) {
      rejected = Optional.empty();
      rejection = Findings.NONE;
    }
    store.retain(gathering.neededWith(assembly));
    commands.add(new FollowCommand.Apply(inForce, configuration.get(), verdict.findings()));
    peers.zonePeers().stream().sorted().forEach(this::tell);
  }

  private void reject(PublishedVersion version, Findings findings) {
    rejected = Optional.of(version);
    rejection = findings;
    commands.add(new FollowCommand.Reject(version, findings));
  }
}
