package org.lentilhinge.identity;

/**
 * A fencing token, which orders the successive owners of an endpoint. An endpoint that checks
 * fencing tokens refuses an order whose token is lower than the highest one that it has received.
 *
 * @param counter the counter, which increases from owner to owner
 * @param host the owner, whose name breaks ties between equal counters
 */
public record FencingToken(long counter, HostId host) implements Comparable<FencingToken> {

  @Override
  public int compareTo(FencingToken other) {
    int byCounter = Long.compare(counter, other.counter);
    return byCounter != 0 ? byCounter : host.compareTo(other.host);
  }

  @Override
  public String toString() {
    return counter + ":" + host;
  }
}
