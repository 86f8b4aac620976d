package org.lentilhinge.resume;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.lentilhinge.fleet.VersionHistory;
import org.lentilhinge.lease.RendezvousHash;
import org.lentilhinge.message.PeerMessage;

/**
 * Finds out which software version began a stream that a caller resumes, possibly at another host.
 * While a service may have had several versions, some hosts keep copies of the origins of its
 * streams, selected by rendezvous hashing of the request's id.
 */
public final class StreamOriginExchange {

  /** The number of hosts that keep a copy, besides the host that forwards the stream. */
  private static final int COPIES = 3;

  /** The time after which the answers that are still missing are not waited for. */
  private static final long ANSWER_TIMEOUT_MILLIS = 250;

  /** The time within which the next listing is read, in milliseconds. */
  private static final long LISTING_TIMEOUT_MILLIS = 1_500;

  private static final long RETENTION_MILLIS = 600_000;

  private final String self;
  private final Supplier<List<String>> hosts;
  private final VersionHistory versions;
  private final BiConsumer<String, PeerMessage> peers;
  private final StreamOrigins origins = new StreamOrigins(RETENTION_MILLIS);
  private final Map<Long, PendingQuery> pendingQueries = new HashMap<>();
  private final List<OwnDecision> ownDecisions = new ArrayList<>();

  /** The services whose streams began here, with the longest time in which they are resumed. */
  private final Map<String, Long> maximumAgesMillis = new HashMap<>();

  /** The services of which other hosts keep copies. */
  private final Set<String> sharedServices = new HashSet<>();

  private long lastQueryId;

  /** A query to other hosts, and the only versions that the hosts without a record know. */
  private static final class PendingQuery {
    private final Consumer<Optional<String>> callback;
    private final Set<String> onlyVersions = new HashSet<>();
    private final long endsAtMillis;
    private int missingAnswers;
    private int agreeingHosts;
    private boolean contradicted;

    private PendingQuery(
        Consumer<Optional<String>> callback, int missingAnswers, long endsAtMillis) {
      this.callback = callback;
      this.missingAnswers = missingAnswers;
      this.endsAtMillis = endsAtMillis;
    }

    /** Records the view of a host without a record; empty if it knows of several versions. */
    private void recordView(String version) {
      missingAnswers--;
      if (version.isEmpty()) {
        contradicted = true;
      } else {
        agreeingHosts++;
        onlyVersions.add(version);
      }
    }

    /**
     * Returns the version that another host confirms and no host contradicts. This host alone may
     * have been cut off or paused while endpoints joined.
     */
    private Optional<String> agreedVersion() {
      return agreeingHosts > 0 && !contradicted && onlyVersions.size() == 1
          ? Optional.of(onlyVersions.iterator().next())
          : Optional.empty();
    }
  }

  /** A question that only this host can answer, by the next listing of the store. */
  private record OwnDecision(
      Consumer<Optional<String>> callback,
      String service,
      long maximumAgeMillis,
      long askedAtMillis) {}

  /**
   * Creates an exchange without any origins.
   *
   * @param self the name of this host
   * @param hosts lists the names of the live hosts
   * @param versions the versions of the endpoints that this host knows
   * @param peers sends a message to a host
   */
  public StreamOriginExchange(
      String self,
      Supplier<List<String>> hosts,
      VersionHistory versions,
      BiConsumer<String, PeerMessage> peers) {
    this.self = self;
    this.hosts = hosts;
    this.versions = versions;
    this.peers = peers;
  }

  /**
   * Records which version began a stream, or goes on with it.
   *
   * @param origin the origin
   * @param maximumAgeMillis the time in which the stream may be resumed, in milliseconds
   * @param nowMillis the current time, in milliseconds
   */
  public void record(StreamOrigin origin, long maximumAgeMillis, long nowMillis) {
    origins.record(origin, true, nowMillis);
    maximumAgesMillis.merge(origin.service(), maximumAgeMillis, Math::max);
    if (onlyVersion(origin.service(), maximumAgeMillis, nowMillis).isEmpty()) {
      sharedServices.add(origin.service());
      share(origin);
    }
  }

  private Optional<String> onlyVersion(String service, long maximumAgeMillis, long nowMillis) {
    return versions.onlyVersionSince(service, nowMillis - maximumAgeMillis, nowMillis);
  }

  private void share(StreamOrigin origin) {
    for (String host : copyHolders(origin.requestId())) {
      peers.accept(host, new StreamOriginNews(List.of(origin)));
    }
  }

  /** Returns the other hosts that keep copies of the origin of a stream. */
  private List<String> copyHolders(String requestId) {
    return hosts.get().stream()
        .filter(host -> !host.equals(self))
        .sorted(
            Comparator.comparing(
                (String host) -> RendezvousHash.weight(requestId, host),
                (first, second) -> Long.compareUnsigned(second, first)))
        .limit(COPIES)
        .toList();
  }

  /**
   * Shares the origins of the streams that began while their service had one version, once that is
   * no longer certain, and ends the queries whose time has elapsed. Must be called several times
   * per second.
   *
   * @param nowMillis the current time, in milliseconds
   */
  public void tick(long nowMillis) {
    ownDecisions.removeIf(decision -> tryDecide(decision, nowMillis));
    for (Map.Entry<Long, PendingQuery> entry : List.copyOf(pendingQueries.entrySet())) {
      if (nowMillis >= entry.getValue().endsAtMillis) {
        end(entry.getKey(), entry.getValue().agreedVersion());
      }
    }
    maximumAgesMillis.forEach(
        (service, maximumAgeMillis) -> {
          if (onlyVersion(service, maximumAgeMillis, nowMillis).isPresent()) {
            sharedServices.remove(service);
          } else if (sharedServices.add(service)) {
            origins.own(service, nowMillis - maximumAgeMillis).forEach(this::share);
          }
        });
  }

  private boolean tryDecide(OwnDecision decision, long nowMillis) {
    boolean listed = versions.listedAtMillis() > decision.askedAtMillis();
    boolean ended = nowMillis >= decision.askedAtMillis() + LISTING_TIMEOUT_MILLIS;
    if (listed) {
      decision
          .callback()
          .accept(onlyVersion(decision.service(), decision.maximumAgeMillis(), nowMillis));
    } else if (ended) {
      decision.callback().accept(Optional.empty());
    }
    return listed || ended;
  }

  /**
   * Finds the version that began a stream. The callback is called once, with empty if the version
   * cannot be known.
   *
   * @param requestId the id of the request that received the first event, or an empty string
   * @param service the service
   * @param maximumAgeMillis the time within which the stream began, in milliseconds
   * @param nowMillis the current time, in milliseconds
   * @param callback receives the version
   */
  public void find(
      String requestId,
      String service,
      long maximumAgeMillis,
      long nowMillis,
      Consumer<Optional<String>> callback) {
    Optional<String> recorded = origins.find(requestId);
    List<String> holders = requestId.isEmpty() ? List.of() : copyHolders(requestId);
    if (recorded.isPresent()) {
      callback.accept(recorded);
      return;
    }
    if (holders.isEmpty()) {
      ownDecisions.add(new OwnDecision(callback, service, maximumAgeMillis, nowMillis));
      return;
    }
    lastQueryId++;
    long queryId = lastQueryId;
    PendingQuery query =
        new PendingQuery(callback, holders.size(), nowMillis + ANSWER_TIMEOUT_MILLIS);
    onlyVersion(service, maximumAgeMillis, nowMillis).ifPresent(query.onlyVersions::add);
    pendingQueries.put(queryId, query);
    for (String host : holders) {
      peers.accept(host, new StreamOriginQuery(queryId, requestId, service, maximumAgeMillis));
    }
  }

  private void end(long queryId, Optional<String> version) {
    PendingQuery query = pendingQueries.remove(queryId);
    if (query != null) {
      query.callback.accept(version);
    }
  }

  /**
   * Keeps a copy of origins that another host sent.
   *
   * @param news the origins
   * @param nowMillis the current time, in milliseconds
   */
  public void receive(StreamOriginNews news, long nowMillis) {
    news.origins().forEach(origin -> origins.record(origin, false, nowMillis));
  }

  /**
   * Answers the query of another host.
   *
   * @param host the host
   * @param query the query
   * @param nowMillis the current time, in milliseconds
   */
  public void receive(String host, StreamOriginQuery query, long nowMillis) {
    Optional<String> recorded = origins.find(query.requestId());
    String version =
        recorded
            .or(() -> onlyVersion(query.service(), query.maximumAgeMillis(), nowMillis))
            .orElse("");
    peers.accept(host, new StreamOriginAnswer(query.queryId(), recorded.isPresent(), version));
  }

  /**
   * Handles the answer of another host.
   *
   * @param answer the answer
   */
  public void receive(StreamOriginAnswer answer) {
    PendingQuery query = pendingQueries.get(answer.queryId());
    if (query == null) {
      return;
    }
    if (answer.recorded()) {
      end(answer.queryId(), Optional.of(answer.version()));
      return;
    }
    query.recordView(answer.version());
    if (query.missingAnswers == 0) {
      end(answer.queryId(), query.agreedVersion());
    }
  }
}
