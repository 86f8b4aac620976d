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
  private static final double MINIMUM_STARTS_PER_SECOND = 0.2;
  private static final long MINIMUM_RETRY_AFTER_MILLIS = 500;
  private static final double MILLIS_PER_SECOND = 1000.0;

  private AdmissionSettings settings;
  private final Map<Urgency, UrgencyClass> classes = new EnumMap<>(Urgency.class);
  private final Map<Urgency, Double> startsPerWeight = new EnumMap<>(Urgency.class);
  private final Map<RequestId, AdmissionRequest> requestsById = new HashMap<>();
  private final Map<CallerId, Integer> concurrentRequests = new HashMap<>();
  private double recentStarts;
  private long recentStartsAtMillis;
  private int spareCapacity;

  /**
   * Creates an empty queue.
   *
   * @param settings the limits
   * @param nowMillis the monotonic time, in milliseconds
   */
  public AdmissionQueue(AdmissionSettings settings, long nowMillis) {
    this.settings = settings;
    this.recentStartsAtMillis = nowMillis;
    for (Urgency urgency : Urgency.values()) {
      classes.put(urgency, new UrgencyClass());
      startsPerWeight.put(urgency, 0.0);
    }
  }

  /**
   * Replaces the limits. The new limits apply to requests that are offered afterwards.
   *
   * @param newSettings the limits
   */
  public void reconfigure(AdmissionSettings newSettings) {
    settings = newSettings;
  }

  /**
   * Queues or refuses a request.
   *
   * @param request the request
   * @param nowMillis the monotonic time, in milliseconds
   * @return refusals, of this request or of a request that was shed to make room for it
   */
  public List<AdmissionCommand> offer(AdmissionRequest request, long nowMillis) {
    int callerRequests = concurrentRequests.getOrDefault(request.caller(), 0);
    if (callerRequests >= settings.maximumConcurrent(request.caller())) {
      return List.of(refuse(request, AdmissionReason.CALLER_LIMIT, MINIMUM_RETRY_AFTER_MILLIS));
    }
    double waitMillis = expectedWaitMillis(request, nowMillis);
    long limit = Math.min(settings.maximumQueueMillis(), request.deadlineMillis() - nowMillis);
    if (waitMillis > limit) {
      long retryAfter = MINIMUM_RETRY_AFTER_MILLIS + (long) (waitMillis - limit);
      return List.of(refuse(request, AdmissionReason.WAIT_TOO_LONG, retryAfter));
    }
    classes.get(request.urgency()).add(request, settings.share(request.caller()));
    requestsById.put(request.id(), request);
    concurrentRequests.merge(request.caller(), 1, Integer::sum);
    return queued() > settings.maximumQueued() ? shed(nowMillis) : List.of();
  }

  /**
   * Refuses the requests whose deadline has been reached and starts others.
   *
   * @param nowMillis the monotonic time, in milliseconds
   * @param capacity the number of requests that may be started now
   * @return refusals and starts
   */
  public List<AdmissionCommand> advance(long nowMillis, int capacity) {
    List<AdmissionCommand> commands = new ArrayList<>();
    for (UrgencyClass urgencyClass : classes.values()) {
      for (AdmissionRequest expired : urgencyClass.removeExpired(nowMillis)) {
        release(expired);
        commands.add(refuse(expired, AdmissionReason.DEADLINE, retryAfterMillis(nowMillis)));
      }
    }
    spareCapacity = capacity;
    for (int started = 0; started < capacity && queued() > 0; started++) {
      spareCapacity--;
      AdmissionRequest next = takeNext();
      decayedStarts(nowMillis);
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
  public void requeue(RequestId request) {
    AdmissionRequest requeued = requestsById.get(request);
    if (requeued != null) {
      classes.get(requeued.urgency()).requeue(requeued, settings.share(requeued.caller()));
    }
  }

  /**
   * Records that a started request has ended, or that the caller of a waiting one has disconnected.
   *
   * @param request the request
   */
  public void onFinished(RequestId request) {
    AdmissionRequest ended = requestsById.get(request);
    if (ended != null) {
      classes.get(ended.urgency()).remove(ended);
      release(ended);
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
        startsPerWeight.merge(urgency, minimumStartsPerWeight(), Math::max);
      } else if (next == null || startsPerWeight.get(urgency) < startsPerWeight.get(next)) {
        next = urgency;
      }
    }
    startsPerWeight.merge(next, 1 / weight(next), Double::sum);
    return classes.get(next).take();
  }

  private double minimumStartsPerWeight() {
    double lowest = Double.MAX_VALUE;
    for (Urgency urgency : Urgency.values()) {
      if (classes.get(urgency).size() > 0) {
        lowest = Math.min(lowest, startsPerWeight.get(urgency));
      }
    }
    return lowest;
  }

  private double expectedWaitMillis(AdmissionRequest request, long nowMillis) {
    double ahead =
        classes
            .get(request.urgency())
            .countAhead(request.caller(), settings.share(request.caller()));
    double weightAhead = weight(request.urgency());
    for (Urgency urgency : Urgency.values()) {
      if (urgency != request.urgency()) {
        double interleaved = (ahead + 1) * weight(urgency) / weightAhead;
        ahead += Math.min(classes.get(urgency).size(), interleaved);
      }
    }
    return ahead < spareCapacity ? 0 : ahead * MILLIS_PER_SECOND / startsPerSecond(nowMillis);
  }

  private List<AdmissionCommand> shed(long nowMillis) {
    for (Urgency urgency : List.of(Urgency.BACKGROUND, Urgency.NORMAL, Urgency.URGENT)) {
      Optional<AdmissionRequest> victim = classes.get(urgency).shed();
      if (victim.isPresent()) {
        release(victim.get());
        return List.of(
            refuse(victim.get(), AdmissionReason.QUEUE_FULL, retryAfterMillis(nowMillis)));
      }
    }
    return List.of();
  }

  private void release(AdmissionRequest request) {
    requestsById.remove(request.id());
    concurrentRequests.merge(
        request.caller(), -1, (count, change) -> count + change <= 0 ? null : count + change);
  }

  private long retryAfterMillis(long nowMillis) {
    double drainMillis = queued() * MILLIS_PER_SECOND / startsPerSecond(nowMillis);
    return MINIMUM_RETRY_AFTER_MILLIS + (long) Math.min(drainMillis, settings.maximumQueueMillis());
  }

  private double startsPerSecond(long nowMillis) {
    double recentRate = decayedStarts(nowMillis) * MILLIS_PER_SECOND / RATE_DECAY_MILLIS;
    return Math.max(MINIMUM_STARTS_PER_SECOND, recentRate);
  }

  private double decayedStarts(long nowMillis) {
    recentStarts *= Math.exp((recentStartsAtMillis - nowMillis) / RATE_DECAY_MILLIS);
    recentStartsAtMillis = nowMillis;
    return recentStarts;
  }

  private static double weight(Urgency urgency) {
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
