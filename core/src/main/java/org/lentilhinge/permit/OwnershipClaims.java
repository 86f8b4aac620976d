package org.lentilhinge.permit;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Stream;

/**
 * Stores which hosts state that they own an engine. The claim of a host that fell silent remains,
 * because the host may still act on it.
 */
public final class OwnershipClaims {

  /**
   * The time after the loss of a host, which may own any engine, during which no engine is taken
   * over, in milliseconds. An owner that is idle orders only while its neighbors know it as live,
   * by their heartbeats of the last 1.4 s; the rest covers the way of these and of its order.
   */
  public static final long LOST_HOST_MILLIS = 2_500;

  private static final Comparator<OwnershipClaim> BY_TIME =
      Comparator.comparingLong(OwnershipClaim::heardAtMillis);

  private final Map<String, Map<String, OwnershipClaim>> claims = new HashMap<>();
  private final Map<String, Long> highestTokens = new HashMap<>();
  private final Map<String, Long> orderedAtMillis = new HashMap<>();
  private final Set<String> leavingHosts = new HashSet<>();

  /** Creates a store without claims. */
  public OwnershipClaims() {}

  /**
   * Records what a host states about an engine.
   *
   * @param host the host that sent the status
   * @param status the engine status
   * @param nowMillis the current time, in milliseconds
   */
  public void recordStatus(String host, EngineStatus status, long nowMillis) {
    if (status.owned()) {
      recordClaim(status.incarnation(), host, status.fencingToken(), nowMillis);
    } else {
      recordToken(status.incarnation(), status.fencingToken());
      removeClaim(status.incarnation(), host, nowMillis);
    }
  }

  /**
   * Records that a host owns an engine.
   *
   * @param incarnation the engine's incarnation
   * @param host the host
   * @param fencingToken the fencing token of its orders; 0 if it is not known
   * @param nowMillis the current time, in milliseconds
   */
  public void recordClaim(String incarnation, String host, long fencingToken, long nowMillis) {
    recordToken(incarnation, fencingToken);
    if (!leavingHosts.contains(host)) {
      claimsOf(incarnation).put(host, new OwnershipClaim(host, fencingToken, nowMillis));
    }
  }

  /**
   * Records that a fencing token is in use.
   *
   * @param incarnation the engine's incarnation
   * @param fencingToken the token; 0 if none is known
   */
  public void recordToken(String incarnation, long fencingToken) {
    highestTokens.merge(incarnation, fencingToken, Math::max);
  }

  private void removeClaim(String incarnation, String host, long nowMillis) {
    if (claimsOf(incarnation).remove(host) != null) {
      recordOrders(incarnation, nowMillis);
    }
  }

  private Map<String, OwnershipClaim> claimsOf(String incarnation) {
    return claims.computeIfAbsent(incarnation, unused -> new HashMap<>());
  }

  private Stream<OwnershipClaim> streamClaims(String incarnation) {
    return claims.getOrDefault(incarnation, Map.of()).values().stream();
  }

  /**
   * Returns the latest claim of another host.
   *
   * @param incarnation the engine's incarnation
   * @param self the name of this host
   * @return the claim; empty if no other host claims the ownership
   */
  public Optional<OwnershipClaim> latestElsewhere(String incarnation, String self) {
    return streamClaims(incarnation).filter(claim -> !claim.host().equals(self)).max(BY_TIME);
  }

  /**
   * Returns the highest fencing token that any host stated for an engine.
   *
   * @param incarnation the engine's incarnation
   * @return the token; 0 if none was stated
   */
  public long highestToken(String incarnation) {
    return highestTokens.getOrDefault(incarnation, 0L);
  }

  /**
   * Records that other hosts may have sent orders to an engine until now.
   *
   * @param incarnation the engine's incarnation
   * @param nowMillis the current time, in milliseconds
   */
  public void recordOrders(String incarnation, long nowMillis) {
    orderedAtMillis.put(incarnation, nowMillis);
  }

  /**
   * Returns until when other hosts may have sent orders to an engine, because the ownership of one
   * ended or the engine's count rose.
   *
   * @param incarnation the engine's incarnation
   * @return the latest such time, in milliseconds; empty if none is known
   */
  public OptionalLong orderedAtMillis(String incarnation) {
    Long orderedAt = orderedAtMillis.get(incarnation);
    return orderedAt == null ? OptionalLong.empty() : OptionalLong.of(orderedAt);
  }

  /**
   * Returns why a host may not take over an engine, as far as the claims of third hosts are
   * concerned.
   *
   * @param incarnation the engine's incarnation
   * @param candidate the host that is about to take over the engine
   * @param self the name of this host, whose own ownership is known without a claim
   * @param claimMillis the time after a claim during which its host may send orders, in
   *     milliseconds
   * @param lostAtMillis when hosts were lost, in milliseconds, without those that left or were
   *     restarted
   * @param nowMillis the current time, in milliseconds
   * @return the objection, or empty if there is none
   */
  public Optional<OwnershipObjection> objection(
      String incarnation,
      String candidate,
      String self,
      long claimMillis,
      Map<String, Long> lostAtMillis,
      long nowMillis) {
    Optional<OwnershipClaim> claim =
        streamClaims(incarnation)
            .filter(entry -> !entry.host().equals(candidate) && !entry.host().equals(self))
            .max(BY_TIME);
    if (claim.isPresent() && nowMillis - claim.get().heardAtMillis() < claimMillis) {
      long waitMillis = claim.get().heardAtMillis() + claimMillis - nowMillis;
      return Optional.of(new OwnershipObjection("claimed", claim.get().host(), waitMillis));
    }
    return lostAtMillis.entrySet().stream()
        .filter(lost -> !lost.getKey().equals(candidate))
        .filter(lost -> nowMillis - lost.getValue() < LOST_HOST_MILLIS)
        .max(Map.Entry.comparingByValue())
        .map(
            lost ->
                new OwnershipObjection(
                    "host-lost", lost.getKey(), lost.getValue() + LOST_HOST_MILLIS - nowMillis));
  }

  /**
   * Removes the claims of a host that is shutting down, and ignores those that arrive late.
   *
   * @param host the host, which sends no further orders
   * @param nowMillis the current time, in milliseconds
   */
  public void recordLeaving(String host, long nowMillis) {
    leavingHosts.add(host);
    removeClaims(host, nowMillis);
  }

  /**
   * Removes the claims of a host whose process has ended.
   *
   * @param host the host, which has been restarted
   * @param nowMillis the current time, in milliseconds
   */
  public void recordRestart(String host, long nowMillis) {
    removeClaims(host, nowMillis);
  }

  /**
   * Considers the claims of a host again that was shutting down, as none arrives late any more.
   *
   * @param host the host, which was lost or restarted
   */
  public void recordEnd(String host) {
    leavingHosts.remove(host);
  }

  /**
   * Removes an engine.
   *
   * @param incarnation the incarnation that has ended
   */
  public void removeEngine(String incarnation) {
    claims.remove(incarnation);
    highestTokens.remove(incarnation);
    orderedAtMillis.remove(incarnation);
  }

  private void removeClaims(String host, long nowMillis) {
    claims.keySet().forEach(incarnation -> removeClaim(incarnation, host, nowMillis));
  }
}
