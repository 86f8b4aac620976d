package org.lentilhinge.identity;

/**
 * The id of a caller's request, unique across hosts and restarts.
 *
 * @param incarnation the incarnation of the entry host that accepted the request
 * @param sequence the sequence number of the request in that incarnation
 */
public record RequestId(HostIncarnation incarnation, long sequence) {

  @Override
  public String toString() {
    return incarnation + "/" + sequence;
  }
}
