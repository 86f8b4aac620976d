package org.lentilhinge.permit;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Stores which hosts state that they own an engine. The claim of a host that fell silent remains,
 * because the host may still act on it.
 */
public final class OwnershipClaims {

  private final Map<String, OwnershipClaim> claims = new HashMap<>();
  private final Map<String, Long> highestTokens = new HashMap<>();
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
    highestTokens.merge(status.incarnation(), status.fencingToken(), Math::max);
    if (status.owned() && !leavingHosts.contains(host)) {
      claims.put(status.incarnation(), new OwnershipClaim(host, status.fencingToken(), nowMillis));
    } else {
      claims.computeIfPresent(
          status.incarnation(), (name, claim) -> claim.host().equals(host) ? null : claim);
    }
  }

  /**
   * Returns the latest claim of another host.
   *
   * @param incarnation the engine's incarnation
   * @param self the name of this host
   * @return the claim; empty if no other host claims the ownership
   */
  public Optional<OwnershipClaim> latestElsewhere(String incarnation, String self) {
    return Optional.ofNullable(claims.get(incarnation)).filter(claim -> !claim.host().equals(self));
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
   * Removes the claims of a host that is shutting down, and ignores those that arrive late.
   *
   * @param host the host, which sends no further orders
   */
  public void recordLeaving(String host) {
    leavingHosts.add(host);
    removeClaims(host);
  }

  /**
   * Removes the claims of a host whose process has ended.
   *
   * @param host the host, which has been restarted
   */
  public void recordRestart(String host) {
    removeClaims(host);
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
  }

  private void removeClaims(String host) {
    claims.values().removeIf(claim -> claim.host().equals(host));
  }
}
