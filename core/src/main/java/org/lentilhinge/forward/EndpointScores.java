package org.lentilhinge.forward;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.lentilhinge.fleet.FleetEndpoint;

/**
 * Selects an endpoint of a plain service by its expected response time. The scores come from this
 * host's own requests: their durations, the number in flight and the recent failures.
 */
public final class EndpointScores {

  /** The weight of the latest response in the running means. */
  private static final double LATEST_WEIGHT = 0.2;

  /** The cost of a failure for the caller, who has to retry and wait again, in milliseconds. */
  private static final double FAILURE_COST_MILLIS = 1_000;

  /**
   * The half-life of failures, in milliseconds, so that an endpoint that has recovered is used
   * again.
   */
  private static final double FAILURE_HALF_LIFE_MILLIS = 3_000;

  /** The assumed response time of an endpoint without responses, in milliseconds. */
  private static final double INITIAL_RESPONSE_MILLIS = 20;

  private final Map<String, Score> scores = new HashMap<>();

  /** Creates scores without endpoints. */
  public EndpointScores() {}

  private static final class Score {
    private int inFlight;
    private double meanResponseMillis = INITIAL_RESPONSE_MILLIS;
    private double failureWeight;
    private long failuresUpdatedAtMillis;

    double failureWeight(long nowMillis) {
      return failureWeight
          * Math.pow(0.5, (nowMillis - failuresUpdatedAtMillis) / FAILURE_HALF_LIFE_MILLIS);
    }

    double costMillis(long nowMillis) {
      return meanResponseMillis * (1 + inFlight) + failureWeight(nowMillis) * FAILURE_COST_MILLIS;
    }
  }

  /**
   * Selects an endpoint.
   *
   * @param endpoints the endpoints that may be used
   * @param excluded the incarnations that have been tried
   * @param zones the costs of the zones, and those that the request may be sent to
   * @param nowMillis the current time, in milliseconds
   * @return the endpoint with the lowest cost, or empty if all are excluded
   */
  public Optional<FleetEndpoint> select(
      Collection<FleetEndpoint> endpoints, Set<String> excluded, ZoneCosts zones, long nowMillis) {
    return zones.permitted(endpoints, excluded, endpoint -> true).stream()
        .filter(endpoint -> !excluded.contains(endpoint.incarnation()))
        .min(
            (first, second) ->
                Double.compare(
                    costMillis(first, zones, nowMillis), costMillis(second, zones, nowMillis)));
  }

  private double costMillis(FleetEndpoint endpoint, ZoneCosts zones, long nowMillis) {
    Score score = scores.get(endpoint.incarnation());
    double scoreMillis = score == null ? INITIAL_RESPONSE_MILLIS : score.costMillis(nowMillis);
    return scoreMillis + zones.costMillis(endpoint.zone());
  }

  /**
   * Records that a request was sent.
   *
   * @param incarnation the endpoint's incarnation
   */
  public void recordStart(String incarnation) {
    scores.computeIfAbsent(incarnation, unused -> new Score()).inFlight++;
  }

  /**
   * Records that a request has ended.
   *
   * @param incarnation the endpoint's incarnation
   * @param failed whether the request failed at the endpoint
   * @param durationMillis the duration of the request, in milliseconds
   * @param nowMillis the current time, in milliseconds
   */
  public void recordEnd(String incarnation, boolean failed, long durationMillis, long nowMillis) {
    Score score = scores.computeIfAbsent(incarnation, unused -> new Score());
    score.inFlight = Math.max(0, score.inFlight - 1);
    double former = score.failureWeight(nowMillis);
    score.failureWeight = former * (1 - LATEST_WEIGHT) + (failed ? LATEST_WEIGHT : 0);
    score.failuresUpdatedAtMillis = nowMillis;
    if (!failed) {
      score.meanResponseMillis =
          score.meanResponseMillis * (1 - LATEST_WEIGHT) + durationMillis * LATEST_WEIGHT;
    }
  }

  /**
   * Records that a request has ended in a way that says nothing of the endpoint's speed or health.
   *
   * @param incarnation the endpoint's incarnation
   */
  public void recordUnrated(String incarnation) {
    Score score = scores.computeIfAbsent(incarnation, unused -> new Score());
    score.inFlight = Math.max(0, score.inFlight - 1);
  }

  /**
   * Records that an endpoint was unreachable, which counts more than a single failed request.
   *
   * @param incarnation the endpoint's incarnation
   * @param nowMillis the current time, in milliseconds
   */
  public void recordUnreachable(String incarnation, long nowMillis) {
    Score score = scores.computeIfAbsent(incarnation, unused -> new Score());
    score.failureWeight = 1;
    score.failuresUpdatedAtMillis = nowMillis;
  }

  /**
   * Returns the cost of the recent failures of an endpoint.
   *
   * @param incarnation the endpoint's incarnation
   * @param nowMillis the current time, in milliseconds
   * @return the cost, as a time in milliseconds
   */
  public double failureCostMillis(String incarnation, long nowMillis) {
    Score score = scores.get(incarnation);
    return score == null ? 0 : score.failureWeight(nowMillis) * FAILURE_COST_MILLIS;
  }

  /**
   * Removes an endpoint.
   *
   * @param incarnation the incarnation that has ended
   */
  public void remove(String incarnation) {
    scores.remove(incarnation);
  }
}
