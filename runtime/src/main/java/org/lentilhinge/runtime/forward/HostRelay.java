package org.lentilhinge.runtime.forward;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import org.lentilhinge.overlay.HostRecord;
import org.lentilhinge.path.PathAnswer;

/**
 * Selects the hosts through which a cut-off host serves its callers, and bounds what this host
 * serves for others. A relayed request is the caller's request, sent to the other host like that of
 * a caller; that host decides on it alone and does not relay it any further.
 */
final class HostRelay {

  /** Marks a relayed request; its value is that of {@link RelayProof}. */
  static final String HEADER = "X-Lentilhinge-Relay";

  /** Marks a refusal of a host that cannot serve others now, so that another one may. */
  static final String UNAVAILABLE_HEADER = "X-Lentilhinge-Relay-Unavailable";

  /** The number of requests that a host serves for others at the same time. */
  private static final int MAXIMUM_RELAYED = 128;

  /** The time for which an answer makes a host a helper, in milliseconds. */
  private static final long ANSWER_EXPIRY_MILLIS = 2_500;

  /** The number of hosts of the own zone, and of each other one, that are asked at once. */
  private static final int CANDIDATES_PER_ZONE = 3;

  private static final int MAXIMUM_CANDIDATES = 9;

  /** The cost of each request that a helper already serves for this host, in milliseconds. */
  private static final double IN_FLIGHT_MILLIS = 2;

  private final HostContext context;
  private final HostState state;
  private final Random random;
  private final RelayProof proof;
  private final Map<String, Helper> helpers = new HashMap<>();
  private int relayedRequests;

  /** A host that serves requests for this one. */
  static final class Helper {
    private final String host;
    private final String address;
    private final double distanceMillis;
    private long answeredAtMillis;
    private boolean proved;
    private int inFlight;

    private Helper(String host, String address, double distanceMillis) {
      this.host = host;
      this.address = address;
      this.distanceMillis = distanceMillis;
    }

    String host() {
      return host;
    }

    /** Returns the IP address and port at which the host accepts requests. */
    String address() {
      return address;
    }

    void recordStart() {
      inFlight++;
    }

    void recordEnd() {
      inFlight--;
    }
  }

  HostRelay(HostContext context, HostState state, Random random) {
    this.context = context;
    this.state = state;
    this.random = random;
    proof = new RelayProof(context.settings().peerSecret());
  }

  /** Returns the hosts to ask whether they can help, some of each zone, the nearest zones first. */
  List<String> candidates() {
    List<HostRecord> hosts = new ArrayList<>();
    for (HostRecord host : state.hosts().liveHosts()) {
      boolean able =
          !host.leaving()
              && state.hosts().isConnected(host.host())
              && !state.cutOffHosts().contains(host.host());
      if (able) {
        hosts.add(host);
      }
    }
    Collections.shuffle(hosts, random);
    hosts.sort(Comparator.comparingDouble(host -> state.distances().costMillis(host.zone())));
    Map<String, Integer> perZone = new HashMap<>();
    return hosts.stream()
        .filter(host -> perZone.merge(host.zone(), 1, Integer::sum) <= CANDIDATES_PER_ZONE)
        .map(HostRecord::host)
        .limit(MAXIMUM_CANDIDATES)
        .toList();
  }

  /** Handles the answer of a host that was asked. */
  void receive(String host, PathAnswer answer) {
    if (answer.cutOff()) {
      helpers.remove(host);
      return;
    }
    Optional<HostRecord> sender =
        state.hosts().liveHosts().stream().filter(entry -> entry.host().equals(host)).findFirst();
    if (sender.isPresent()) {
      double distanceMillis = state.distances().costMillis(sender.get().zone());
      Helper helper =
          helpers.computeIfAbsent(
              host, unused -> new Helper(host, answer.callerAddress(), distanceMillis));
      helper.answeredAtMillis = context.now();
      helper.proved = answer.reached() > 0;
    }
  }

  /**
   * Returns the best helper that was not tried yet; empty if there is none. A host that was not
   * answered by any endpoint of late may be cut off without knowing it, and comes last.
   */
  Optional<Helper> select(Set<String> excluded) {
    Set<String> expired = new HashSet<>();
    helpers.forEach(
        (host, helper) -> {
          if (context.now() - helper.answeredAtMillis > ANSWER_EXPIRY_MILLIS) {
            expired.add(host);
          }
        });
    helpers.keySet().removeAll(expired);
    return helpers.values().stream()
        .filter(helper -> !excluded.contains(helper.host()))
        .min(
            Comparator.<Helper>comparingInt(helper -> helper.proved ? 0 : 1)
                .thenComparingDouble(
                    helper -> helper.distanceMillis + helper.inFlight * IN_FLIGHT_MILLIS));
  }

  int helperCount() {
    return helpers.size();
  }

  /** Removes a helper that cannot be reached or is cut off itself. */
  void remove(String host) {
    helpers.remove(host);
  }

  /** Returns the value of {@link #HEADER} in the requests of this host. */
  String headerValue() {
    return proof.mark(version());
  }

  /** Removes {@link #HEADER} from a request of a caller, which must not set it. */
  void verify(HttpHeaders headers) {
    List<String> values = headers.getAll(HEADER);
    if (!values.isEmpty() && (values.size() > 1 || proof.verify(values.get(0)).isEmpty())) {
      headers.remove(HEADER);
    }
  }

  private long version() {
    return state.configuration().map(configuration -> configuration.version().number()).orElse(0L);
  }

  /**
   * Accepts a relayed request of another host, unless this host cannot serve it as well as that
   * host would.
   *
   * @param headerValue the value of {@link #HEADER}
   * @return whether the request is accepted; if so, {@link #release} must be called at its end
   */
  boolean accept(String headerValue) {
    OptionalLong senderVersion = proof.verify(headerValue);
    boolean current = senderVersion.isPresent() && senderVersion.getAsLong() <= version();
    boolean able = !state.cutOffHosts().contains(context.host()) && !state.isLeaving();
    if (!current || !able || relayedRequests >= MAXIMUM_RELAYED) {
      return false;
    }
    relayedRequests++;
    return true;
  }

  /** Records the end of an accepted request. */
  void release() {
    relayedRequests--;
  }
}
