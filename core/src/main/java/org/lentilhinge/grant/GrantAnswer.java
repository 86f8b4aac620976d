package org.lentilhinge.grant;

import java.util.Optional;
import org.lentilhinge.identity.AdapterVersion;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.HostId;

/**
 * An owner's answer to the demand for one version.
 *
 * @param endpoint the endpoint
 * @param version the version
 * @param outcome the outcome
 * @param durationOrRetryMillis the duration of the grant, or the retry delay if there is no grant,
 *     in milliseconds
 * @param owner the owner of the endpoint, if it is another host and known to the replying host
 */
public record GrantAnswer(
    EndpointId endpoint,
    AdapterVersion version,
    GrantOutcome outcome,
    long durationOrRetryMillis,
    Optional<HostId> owner) {

  /**
   * Creates an answer that grants the use of a version.
   *
   * @param endpoint the endpoint
   * @param version the version
   * @param durationMillis the duration of the grant from the time at which the request was sent, in
   *     milliseconds
   * @return the answer
   */
  public static GrantAnswer granted(
      EndpointId endpoint, AdapterVersion version, long durationMillis) {
    return new GrantAnswer(
        endpoint, version, GrantOutcome.GRANTED, durationMillis, Optional.empty());
  }

  /**
   * Creates an answer that refuses the use of a version.
   *
   * @param endpoint the endpoint
   * @param version the version
   * @param outcome the reason
   * @param retryAfterMillis the delay before a retry, in milliseconds
   * @return the answer
   */
  public static GrantAnswer refused(
      EndpointId endpoint, AdapterVersion version, GrantOutcome outcome, long retryAfterMillis) {
    return new GrantAnswer(endpoint, version, outcome, retryAfterMillis, Optional.empty());
  }

  /**
   * Creates an answer that redirects to the owner.
   *
   * @param endpoint the endpoint
   * @param version the version
   * @param owner the owner, if it is known
   * @return the answer
   */
  public static GrantAnswer notOwner(
      EndpointId endpoint, AdapterVersion version, Optional<HostId> owner) {
    return new GrantAnswer(endpoint, version, GrantOutcome.NOT_OWNER, 0, owner);
  }
}
