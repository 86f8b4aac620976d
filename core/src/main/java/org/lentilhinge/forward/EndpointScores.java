package org.lentilhinge.forward;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.lentilhinge.fleet.FleetEndpoint;

/**
 * Chooses among the endpoints of a plain service by the wait to expect, from this host's own
 * answers: how long they took, how many are open, and how many failed lately.
 */
public final class EndpointScores {

  /** The weight of the newest answer in the running means. */
  private static final double NEWEST = 0.2;

  /** What a failure costs a caller: it has to come back and wait again, in milliseconds. */
  private static final double FAILURE_MILLIS = 1_000;

  /** Failures count half after this time, so that an endpoint that recovered is tried again. */
  private static final double HALF_LIFE_MILLIS = 3_000;

  /** Assumed of an endpoint that has not answered yet, in milliseconds. */
  private static final double FIRST_GUESS_MILLIS = 20;

  private final Map<String, Score> scores = new HashMap<>();

  /** Makes scores that know no endpoint. */
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
   * Chooses an endpoint.
   *
   * @param endpoints those that may be used
   * @param excluded the lives that have been tried
   * @param distances the time to each zone and back, by zone, in milliseconds
   * @param nowMillis the time
   * @return the endpoint with the least wait to expect
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
    double own = score == null ? FIRST_GUESS_MILLIS : score.costMillis(nowMillis);
    return own + distances.millis(endpoint.zone());
  }

  /**
   * Notes that a request was sent.
   *
   * @param life the endpoint's life
   */
  public void opened(String life) {
    scores.computeIfAbsent(life, unused -> new Score()).open++;
  }

  /**
   * Notes that a request has ended.
   *
   * @param life the endpoint's life
   * @param failed whether the endpoint failed it
   * @param tookMillis how long it took, in milliseconds
   * @param nowMillis the time
   */
  public void closed(String life, boolean failed, long tookMillis, long nowMillis) {
    Score score = scores.computeIfAbsent(life, unused -> new Score());
    score.open = Math.max(0, score.open - 1);
    double former = score.failures(nowMillis);
    score.failures = former * (1 - NEWEST) + (failed ? NEWEST : 0);
    score.failedMillis = nowMillis;
    if (!failed) {
      score.answerMillis = score.answerMillis * (1 - NEWEST) + tookMillis * NEWEST;
    }
  }

  /**
   * Notes that an endpoint could not be reached at all, which tells more than a failed answer.
   *
   * @param life the endpoint's life
   * @param nowMillis the time
   */
  public void unreachable(String life, long nowMillis) {
    Score score = scores.computeIfAbsent(life, unused -> new Score());
    score.failures = 1;
    score.failedMillis = nowMillis;
  }

  /**
   * Weighs the latest failures of an endpoint.
   *
   * @param life the endpoint's life
   * @param nowMillis the time
   * @return their cost as a time, in milliseconds
   */
  public double failureMillis(String life, long nowMillis) {
    Score score = scores.get(life);
    return score == null ? 0 : score.failures(nowMillis) * FAILURE_MILLIS;
  }

  /**
   * Forgets an endpoint.
   *
   * @param life the life that is gone
   */
  public void forget(String life) {
    scores.remove(life);
  }
}
