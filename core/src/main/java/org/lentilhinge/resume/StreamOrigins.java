package org.lentilhinge.resume;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The software versions that began streams, by the id of the request that received the first event.
 * A stream may go on only at an endpoint of the same version.
 */
public final class StreamOrigins {

  private static final int MAXIMUM_ORIGINS = 16_384;

  /** The length of an id, which callers choose, above which it is not recorded. */
  private static final int MAXIMUM_ID_LENGTH = 128;

  private final long retentionMillis;

  /** The origins in the order of their latest use. */
  private final Map<String, Known> origins = new LinkedHashMap<>();

  private record Known(StreamOrigin origin, boolean own, long atMillis) {}

  /**
   * Creates an empty record.
   *
   * @param retentionMillis the time after which a stream can no longer be resumed, in milliseconds
   */
  public StreamOrigins(long retentionMillis) {
    this.retentionMillis = retentionMillis;
  }

  /**
   * Records which version began a stream. The first version that is recorded for an id stays. Ids
   * of more than 128 characters are ignored.
   *
   * @param origin the origin
   * @param own whether this host forwards the stream
   * @param nowMillis the current time, in milliseconds
   */
  public void record(StreamOrigin origin, boolean own, long nowMillis) {
    if (origin.requestId().length() > MAXIMUM_ID_LENGTH) {
      return;
    }
    Known former = origins.remove(origin.requestId());
    StreamOrigin kept = former == null ? origin : former.origin();
    boolean keptOwn = own || (former != null && former.own());
    origins.put(kept.requestId(), new Known(kept, keptOwn, nowMillis));
    expire(nowMillis);
  }

  private void expire(long nowMillis) {
    Iterator<Known> oldest = origins.values().iterator();
    while (oldest.hasNext()) {
      boolean expired = nowMillis - oldest.next().atMillis() > retentionMillis;
      if (!expired && origins.size() <= MAXIMUM_ORIGINS) {
        return;
      }
      oldest.remove();
    }
  }

  /**
   * Returns the version that began a stream.
   *
   * @param requestId the id of the request that received the first event
   * @return the version, or empty if it is not known
   */
  public Optional<String> find(String requestId) {
    return Optional.ofNullable(origins.get(requestId)).map(known -> known.origin().version());
  }

  /**
   * Lists the origins of the streams of a service that this host forwards or has forwarded.
   *
   * @param service the service
   * @param sinceMillis the time of their latest use at the earliest, in milliseconds
   * @return the origins
   */
  public List<StreamOrigin> own(String service, long sinceMillis) {
    List<StreamOrigin> own = new ArrayList<>();
    for (Known known : origins.values()) {
      boolean recent = known.own() && known.atMillis() >= sinceMillis;
      if (recent && known.origin().service().equals(service)) {
        own.add(known.origin());
      }
    }
    return own;
  }
}
