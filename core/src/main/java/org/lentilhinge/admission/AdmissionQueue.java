package org.lentilhinge.admission;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lentilhinge.configuration.Urgency;
import org.lentilhinge.identity.CallerId;
import org.lentilhinge.identity.RequestId;

/**
 * Schedules the requests of a gateway. More urgent requests start first, but each urgency has a
 * guaranteed fraction of the starts, to prevent starvation. Within an urgency, the callers share
 * the starts in proportion to their weights. A request that could not start in time is refused on
 * arrival, before any work is spent on it.
 */
public final class AdmissionQueue {

  private static final double RATE_DECAY_MILLIS = 5_000;
  private static final double LEAST_STARTS_PER_SECOND = 0.2;
  private static final long LEAST_RETRY_MILLIS = 500;
  private static final double MILLIS_PER_SECOND = 1000.0;

  private AdmissionSettings settings;
  private final Map<Urgency, UrgencyClass> classes = new EnumMap<>(Urgency.class);
  private final Map<Urgency, Double> served = new EnumMap<>(Urgency.class);
  private final Map<RequestId, AdmissionRequest> present = new HashMap<>();
  private final Map<CallerId, Integer> concurrent = new HashMap<>();
  private double recentStarts;
  private long recentMillis;
  private int spareCapacity;

  /**
   * Creates an empty queue.
   *
   * @param settings the limits
   * @param nowMillis the monotonic time
   */
  public AdmissionQueue(AdmissionSettings settings, long nowMillis) {
    this.settings = settings;
    this.recentMillis = nowMillis;
    for (Urgency urgency : Urgency.values()) {
      classes.put(urgency, new UrgencyClass());
      served.put(urgency, 0.0);
    }
  }

  /**
   * Replaces the limits. The new limits apply to requests that are offered from now on.
   *
   * @param changed the limits
   */
  public void reconfigure(AdmissionSettings changed) {
    settings = changed;
  }

  /**
   * Queues or refuses a request.
   *
   * @param request the request
   * @param nowMillis the monotonic time
   * @return refusals, of this request or of a request that was shed to make room for it
   */
  public List<AdmissionCommand> offer(AdmissionRequest request, long nowMillis) {
    int callerRequests = concurrent.getOrDefault(request.caller(), 0);
    if (callerRequests >= settings.maximumConcurrent(request.caller())) {
      return List.of(refuse(request, AdmissionReason.CALLER_LIMIT, LEAST_RETRY_MILLIS));
    }
    double waitMillis = expectedWaitMillis(request, nowMillis);
    long limit = Math.min(settings.maximumQueueMillis(), request.deadlineMillis() - nowMillis);
    if (waitMillis > limit) {
      long retryAfter = LEAST_RETRY_MILLIS + (long) (waitMillis - limit);
      return List.of(refuse(request, AdmissionReason.WAIT_TOO_LONG, retryAfter));
    }
    classes.get(request.urgency()).add(request, settings.share(request.caller()));
    present.put(request.id(), request);
    concurrent.merge(request.caller(), 1, Integer::sum);
    return queued() > settings.maximumQueued() ? shed(nowMillis) : List.of();
  }

  /**
   * Refuses the requests whose deadline has been reached and starts others.
   *
   * @param nowMillis the monotonic time
   * @param capacity the number of requests that may be started now
   * @return refusals and starts
   */
  public List<AdmissionCommand> advance(long nowMillis, int capacity) {
    List<AdmissionCommand> commands = new ArrayList<>();
    for (UrgencyClass urgencyClass : classes.values()) {
      for (AdmissionRequest expired : urgencyClass.removeExpired(nowMillis)) {
        leave(expired);
        commands.add(refuse(expired, AdmissionReason.DEADLINE, retryAfterMillis(nowMillis)));
      }
    }
    spareCapacity = capacity;
    for (int started = 0; started < capacity && queued() > 0; started++) {
      spareCapacity--;
      AdmissionRequest next = takeNext();
      startsAt(nowMillis);
      recentStarts++;
      commands.add(new AdmissionCommand.Start(next.id()));
    }
    return commands;
  }

  /**
   * Requeues a started request at the head of its caller's queue, because no endpoint was available
   * for it.
   *
   * @param request the request
   */
  public void putBack(RequestId request) {
    AdmissionRequest requeued = present.get(request);
    if (requeued != null) {
      classes.get(requeued.urgency()).putBack(requeued, settings.share(requeued.caller()));
    }
  }

  /**
   * Records that a request has ended, whether it was started or its caller has disconnected.
   *
   * @param request the request
   */
  public void finished(RequestId request) {
    AdmissionRequest ended = present.get(request);
    if (ended != null) {
      classes.get(ended.urgency()).remove(ended);
      leave(ended);
    }
  }

  /**
   * Returns the number of waiting requests.
   *
   * @return the number of requests
   */
  public int queued() {
    int sum = 0;
    for (UrgencyClass urgencyClass : classes.values()) {
      sum += urgencyClass.size();
    }
    return sum;
  }

  /**
   * Removes and returns the next request of the urgency that has had the fewest starts in relation
   * to its weight.
   */
  private AdmissionRequest takeNext() {
    Urgency next = null;
    for (Urgency urgency : Urgency.values()) {
      if (classes.get(urgency).size() == 0) {
        served.merge(urgency, leastServed(), Math::max);
      } else if (next == null || served.get(urgency) < served.get(next)) {
        next = urgency;
      }
    }
    served.merge(next, 1 / part(next), Double::sum);
    return classes.get(next).take();
  }

  private double leastServed() {
    double least = Double.MAX_VALUE;
    for (Urgency urgency : Urgency.values()) {
      if (classes.get(urgency).size() > 0) {
        least = Math.min(least, served.get(urgency));
      }
    }
    return least;
  }

  private double expectedWaitMillis(AdmissionRequest request, long nowMillis) {
    double ahead =
        classes.get(request.urgency()).ahead(request.caller(), settings.share(request.caller()));
    double weightAhead = part(request.urgency());
    for (Urgency urgency : Urgency.values()) {
      if (urgency != request.urgency()) {
        double interleaved = (ahead + 1) * part(urgency) / weightAhead;
        ahead += Math.min(classes.get(urgency).size(), interleaved);
      }
    }
    return ahead < spareCapacity ? 0 : ahead * MILLIS_PER_SECOND / startsPerSecond(nowMillis);
  }

  private List<AdmissionCommand> shed(long nowMillis) {
    for (Urgency urgency : List.of(Urgency.BACKGROUND, Urgency.NORMAL, Urgency.URGENT)) {
      Optional<AdmissionRequest> victim = classes.get(urgency).shed();
      if (victim.isPresent()) {
        leave(victim.get());
        return List.of(
            refuse(victim.get(), AdmissionReason.QUEUE_FULL, retryAfterMillis(nowMillis)));
      }
    }
    return List.of();
  }

  private void leave(AdmissionRequest request) {
    present.remove(request.id());
    concurrent.merge(
        request.caller(), -1, (count, change) -> count + change <= 0 ? null : count + change);
  }

  private long retryAfterMillis(long nowMillis) {
    double drainMillis = queued() * MILLIS_PER_SECOND / startsPerSecond(nowMillis);
    return LEAST_RETRY_MILLIS + (long) Math.min(drainMillis, settings.maximumQueueMillis());
  }

  private double startsPerSecond(long nowMillis) {
    double recentRate = startsAt(nowMillis) * MILLIS_PER_SECOND / RATE_DECAY_MILLIS;
    return Math.max(LEAST_STARTS_PER_SECOND, recentRate);
  }

  private double startsAt(long nowMillis) {
    recentStarts *= Math.exp((recentMillis - nowMillis) / RATE_DECAY_MILLIS);
    recentMillis = nowMillis;
    return recentStarts;
  }

  private static double part(Urgency urgency) {
    return switch (urgency) {
      case URGENT -> 16;
      case NORMAL -> 4;
      case BACKGROUND -> 1;
    };
  }

  private static AdmissionCommand refuse(
      AdmissionRequest request, AdmissionReason reason, long retryAfterMillis) {
    return new AdmissionCommand.Refuse(request.id(), reason, retryAfterMillis);
  }
}
