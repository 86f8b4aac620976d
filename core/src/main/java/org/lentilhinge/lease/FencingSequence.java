package org.lentilhinge.lease;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.FencingToken;
import org.lentilhinge.identity.HostId;

/**
 * Chooses the fencing numbers of this host's orders. Nothing is stored: a tenure starts above the
 * highest number that the endpoint has reported or has refused an order for, and the host breaks
 * ties.
 *
 * <p>Call {@link #begin} when a tenure begins, {@link #number} before each order, and {@link
 * #onAccepted} or {@link #onRefused} after its answer.
 */
public final class FencingSequence {

  private static final int MAXIMUM_RAISES = 3;

  private final HostId self;
  private final Map<EndpointId, FencingToken> highest = new HashMap<>();
  private final Map<EndpointId, Tenure> tenures = new HashMap<>();

  /**
   * Creates a sequence.
   *
   * @param self this host
   */
  public FencingSequence(HostId self) {
    this.self = self;
  }

  /**
   * Takes in the highest number that an endpoint has reported.
   *
   * @param endpoint the endpoint
   * @param reported its number
   */
  public void onReported(EndpointId endpoint, FencingToken reported) {
    highest.merge(endpoint, reported, FencingSequence::higher);
  }

  /**
   * Begins a tenure.
   *
   * @param endpoint the endpoint
   */
  public void begin(EndpointId endpoint) {
    tenures.remove(endpoint);
  }

  /**
   * Returns the number for the next order.
   *
   * @param endpoint the endpoint
   * @return the number, the same throughout the tenure once the endpoint has accepted it
   */
  public FencingToken number(EndpointId endpoint) {
    return tenures.computeIfAbsent(endpoint, this::first).number;
  }

  /**
   * Takes in that an endpoint has accepted an order.
   *
   * @param endpoint the endpoint
   * @param number the order's number
   */
  public void onAccepted(EndpointId endpoint, FencingToken number) {
    onReported(endpoint, number);
    Tenure tenure = tenures.get(endpoint);
    if (tenure != null && tenure.number.equals(number)) {
      tenure.accepted = true;
    }
  }

  /**
   * Takes in that an endpoint has refused an order. A number that the endpoint had accepted before
   * is refused only after a later owner: this host does not raise it again.
   *
   * @param endpoint the endpoint
   * @param number the order's number
   * @param reported the highest number that the endpoint has seen
   * @return what to do
   */
  public FencingVerdict onRefused(EndpointId endpoint, FencingToken number, FencingToken reported) {
    onReported(endpoint, reported);
    Tenure tenure = tenures.get(endpoint);
    if (tenure == null || tenure.accepted || tenure.raises >= MAXIMUM_RAISES) {
      return FencingVerdict.STEP_DOWN;
    }
    if (tenure.number.compareTo(number) == 0) {
      tenure.number = above(endpoint);
      tenure.raises++;
    }
    return FencingVerdict.RETRY;
  }

  /**
   * Returns the highest number known of an endpoint.
   *
   * @param endpoint the endpoint
   * @return the number, or empty if none is known
   */
  public Optional<FencingToken> highest(EndpointId endpoint) {
    return Optional.ofNullable(highest.get(endpoint));
  }

  private Tenure first(EndpointId endpoint) {
    return new Tenure(above(endpoint));
  }

  private FencingToken above(EndpointId endpoint) {
    long counter = highest(endpoint).map(FencingToken::counter).orElse(0L);
    return new FencingToken(counter + 1, self);
  }

  private static FencingToken higher(FencingToken left, FencingToken right) {
    return left.compareTo(right) >= 0 ? left : right;
  }

  /** One period of ownership of an endpoint. */
  private static final class Tenure {
    private FencingToken number;
    private boolean accepted;
    private int raises;

    Tenure(FencingToken number) {
      this.number = number;
    }
  }
}
