package org.lentilhinge.lease;

import java.util.List;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.HostIncarnation;
import org.lentilhinge.message.PeerMessage;

/**
 * A request for the votes of a grantor for a set of endpoints, sent initially and for each renewal.
 * It releases the endpoints that the set no longer contains; the holder must have stopped acting on
 * them before it sends the request.
 *
 * @param holder the requesting host
 * @param sequence the sequence number of the request in the holder's incarnation; the grantor
 *     ignores a request whose number is not higher than that of the last request
 * @param acknowledgedSequence the highest sequence number of a request whose reply the holder has
 *     received from this grantor, or 0
 * @param listDigests the digests of the zone's host lists in which the holder needs a majority
 * @param endpointsDigest the digest of the set of endpoints
 * @param full whether the request contains the endpoints; otherwise the grantor uses the known set
 *     with the same digest
 * @param endpoints the endpoints, or an empty list if the request is not full
 */
public record LeaseRequest(
    HostIncarnation holder,
    long sequence,
    long acknowledgedSequence,
    List<Long> listDigests,
    long endpointsDigest,
    boolean full,
    List<EndpointId> endpoints)
    implements PeerMessage {

  /**
   * Copies the lists.
   *
   * @param holder the requesting host
   * @param sequence the sequence number
   * @param acknowledgedSequence the highest acknowledged sequence number
   * @param listDigests the digests of the lists
   * @param endpointsDigest the digest of the set
   * @param full whether the request contains the endpoints
   * @param endpoints the endpoints
   */
  public LeaseRequest {
    listDigests = List.copyOf(listDigests);
    endpoints = List.copyOf(endpoints);
  }
}
