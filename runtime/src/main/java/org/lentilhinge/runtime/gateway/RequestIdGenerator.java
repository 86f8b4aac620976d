package org.lentilhinge.runtime.gateway;

import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.lentilhinge.identity.HostIncarnation;
import org.lentilhinge.identity.RequestId;

/** Generates the request ids of one incarnation of a host. */
public final class RequestIdGenerator implements Supplier<RequestId> {

  private final HostIncarnation incarnation;
  private final AtomicLong sequence = new AtomicLong();

  /**
   * Creates a generator whose sequence starts at 1.
   *
   * @param incarnation the incarnation of the host
   */
  public RequestIdGenerator(HostIncarnation incarnation) {
    this.incarnation = incarnation;
  }

  @Override
  public RequestId get() {
    return new RequestId(incarnation, sequence.incrementAndGet());
  }
}
