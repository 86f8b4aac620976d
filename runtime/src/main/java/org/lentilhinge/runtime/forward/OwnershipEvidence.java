package org.lentilhinge.runtime.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.lentilhinge.permit.OwnershipClaim;

/**
 * What a host knows of the ownership of an engine when it takes the engine over or sends an order.
 *
 * @param latestClaim the latest claim of another host
 * @param highestToken the highest fencing token that any host stated; 0 if none
 * @param unchangedMillis the time since the order count last changed, in milliseconds
 * @param hosts the number of live hosts, including this one
 * @param inMajority whether this host is in the majority of the hosts
 * @param whole whether no host is silent
 * @param certain whether no other part of the network can act as the majority
 * @param revisionAgeMillis the age of the latest revision of the store, in milliseconds
 * @param atMillis the time at which this was known, in milliseconds
 */
record OwnershipEvidence(
    Optional<OwnershipClaim> latestClaim,
    long highestToken,
    long unchangedMillis,
    int hosts,
    boolean inMajority,
    boolean whole,
    boolean certain,
    long revisionAgeMillis,
    long atMillis) {

  /** Returns alternating names and values for a line of the log. */
  List<Object> fields() {
    List<Object> fields = new ArrayList<>();
    latestClaim.ifPresent(
        claim ->
            fields.addAll(
                List.of(
                    "claimFrom",
                    claim.host(),
                    "claimAgeMs",
                    atMillis - claim.heardAtMillis(),
                    "claimFence",
                    claim.fencingToken())));
    fields.addAll(
        List.of(
            "highestFence",
            highestToken,
            "unchangedMs",
            unchangedMillis,
            "hosts",
            hosts,
            "majority",
            inMajority,
            "whole",
            whole,
            "certain",
            certain,
            "revisionAgeMs",
            revisionAgeMillis));
    return fields;
  }
}
