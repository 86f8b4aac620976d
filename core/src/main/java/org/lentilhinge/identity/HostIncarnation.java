package org.lentilhinge.identity;

/**
 * An incarnation of an entry host, from its start to its stop.
 *
 * @param host the host
 * @param number the wall-clock time of the start, in milliseconds since 1970, which distinguishes
 *     the incarnations of a host
 */
public record HostIncarnation(HostId host, long number) implements Comparable<HostIncarnation> {

  @Override
  public int compareTo(HostIncarnation other) {
    int byHost = host.compareTo(other.host);
    return byHost != 0 ? byHost : Long.compare(number, other.number);
  }

  @Override
  public String toString() {
    return host + "/" + number;
  }
}
