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
  private static final double NEWEST = 0.2;

  /** The cost of a failure for the caller, who has to retry and wait again, in milliseconds. */
  private static final double FAILURE_MILLIS = 1_000;

  /** The half-life of failures, so that an endpoint that recovered is used again. */
  private static final double HALF_LIFE_MILLIS = 3_000;

  /** The assumed response time of an endpoint without responses, in milliseconds. */
  private static final double FIRST_GUESS_MILLIS = 20;

  private final Map<String, Score> scores = new HashMap<>();

  /** Creates scores without endpoints. */
  public EndpointScores() {}

  private static final class Score {
    private int open;
    private double answerMillis = FIRST_GUESS_MILLIS;
    private double failures;
    private long failedMillis;

    double failures(long nowMillis) {
      return failures * Math.pow(0.5, (nowMillis - failedMillis) / HALF_LIFE_MILLIS);
    }

    double costMillis(long nowMillis) {
      return answerMillis * (1 + open) + failures(nowMillis) * FAILURE_MILLIS;
    }
  }

  /**
   * Selects an endpoint.
   *
   * @param endpoints the endpoints that may be used
   * @param excluded the incarnations that have been tried
   * @param distances the cost of the distance to each zone
   * @param nowMillis the current time, in milliseconds
   * @return the endpoint with the lowest cost, or empty if none is left
   */
  public Optional<FleetEndpoint> choose(
      Collection<FleetEndpoint> endpoints,
      Set<String> excluded,
      ZoneDistances distances,
      long nowMillis) {
    return endpoints.stream()
        .filter(endpoint -> !excluded.contains(endpoint.life()))
        .min(
            (first, second) ->
                Double.compare(
                    costMillis(first, distances, nowMillis),
                    costMillis(second, distances, nowMillis)));
  }

  private double costMillis(FleetEndpoint endpoint, ZoneDistances distances, long nowMillis) {
    Score score = scores.get(endpoint.life());
    double scoreMillis = score == null ? FIRST_GUESS_MILLIS : score.costMillis(nowMillis);
    return scoreMillis + distances.millis(endpoint.zone());
  }

  /**
   * Records that a request was sent.
   *
   * @param incarnation the endpoint's incarnation
   */
  public void opened(String incarnation) {
    scores.computeIfAbsent(incarnation, unused -> new Score()).open++;
  }

  /**
   * Records that a request has ended.
   *
   * @param incarnation the endpoint's incarnation
   * @param failed whether the request failed at the endpoint
   * @param durationMillis the duration of the request, in milliseconds
   * @param nowMillis the current time, in milliseconds
   */
  public void closed(String incarnation, boolean failed, long durationMillis, long nowMillis) {
    Score score = scores.computeIfAbsent(incarnation, unused -> new Score());
    score.open = Math.max(0, score.open - 1);
    double former = score.failures(nowMillis);
    score.failures = former * (1 - NEWEST) + (failed ? NEWEST : 0);
    score.failedMillis = nowMillis;
    if (!failed) {
      score.answerMillis = score.answerMillis * (1 - NEWEST) + durationMillis * NEWEST;
    }
  }

  /**
   * Records that an endpoint was unreachable, which counts more than a single failed request.
   *
   * @param incarnation the endpoint's incarnation
   * @param nowMillis the current time, in milliseconds
   */
  public void unreachable(String incarnation, long nowMillis) {
    Score score = scores.computeIfAbsent(incarnation, unused -> new Score());
    score.failures = 1;
    score.failedMillis = nowMillis;
  }

  /**
   * Returns the cost of the recent failures of an endpoint.
   *
   * @param incarnation the endpoint's incarnation
   * @param nowMillis the current time, in milliseconds
   * @return the cost, as a time in milliseconds
   */
  public double failureMillis(String incarnation, long nowMillis) {
    Score score = scores.get(incarnation);
    return score == null ? 0 : score.failures(nowMillis) * FAILURE_MILLIS;
  }

  /**
   * Removes an endpoint.
   *
   * @param incarnation the incarnation that has ended
   */
  public void forget(String incarnation) {
    scores.remove(incarnation);
  }
}
