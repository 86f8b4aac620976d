package org.lentilhinge.lease;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.FencingNumber;
import org.lentilhinge.identity.HostId;

/**
 * Assigns the fencing tokens of this host's orders. Nothing is persisted: the first token of an
 * ownership term has a counter above the highest token that the endpoint has reported, in a report
 * or in the refusal of an order. Tokens with equal counters are ordered by host.
 *
 * <p>Call {@link #begin} when an ownership term begins, {@link #number} before each order, and
 * {@link #onAccepted} or {@link #onRefused} after its reply.
 */
public final class FencingSequence {

  private static final int MAXIMUM_RAISES = 3;

  private final HostId self;
  private final Map<EndpointId, FencingNumber> highest = new HashMap<>();
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
   * Records the highest token that an endpoint has reported.
   *
   * @param endpoint the endpoint
   * @param reported the reported token
   */
  public void onReported(EndpointId endpoint, FencingNumber reported) {
    highest.merge(endpoint, reported, FencingSequence::higher);
  }

  /**
   * Begins an ownership term; the next order gets a new token.
   *
   * @param endpoint the endpoint
   */
  public void begin(EndpointId endpoint) {
    tenures.remove(endpoint);
  }

  /**
   * Returns the token for the next order.
   *
   * @param endpoint the endpoint
   * @return the token, which stays the same until the term ends once the endpoint has accepted it
   */
  public FencingNumber number(EndpointId endpoint) {
    return tenures.computeIfAbsent(endpoint, this::first).number;
  }

  /**
   * Records that an endpoint has accepted an order.
   *
   * @param endpoint the endpoint
   * @param token the order's token
   */
  public void onAccepted(EndpointId endpoint, FencingNumber token) {
    onReported(endpoint, token);
    Tenure term = tenures.get(endpoint);
    if (term != null && term.number.equals(token)) {
      term.accepted = true;
    }
  }

  /**
   * Records that an endpoint has refused an order. An endpoint refuses a token that it accepted
   * before only if a later owner has sent a higher one, so such a token is not raised again.
   *
   * @param endpoint the endpoint
   * @param token the order's token
   * @param reported the highest token that the endpoint has accepted
   * @return whether to retry the order or to release the endpoint
   */
  public FencingVerdict onRefused(
      EndpointId endpoint, FencingNumber token, FencingNumber reported) {
    onReported(endpoint, reported);
    Tenure term = tenures.get(endpoint);
    if (term == null || term.accepted || term.raises >= MAXIMUM_RAISES) {
      return FencingVerdict.STEP_DOWN;
    }
    if (term.number.compareTo(token) == 0) {
      term.number = above(endpoint);
      term.raises++;
    }
    return FencingVerdict.RETRY;
  }

  /**
   * Returns the highest known token of an endpoint.
   *
   * @param endpoint the endpoint
   * @return the token, or empty if none is known
   */
  public Optional<FencingNumber> highest(EndpointId endpoint) {
    return Optional.ofNullable(highest.get(endpoint));
  }

  private Tenure first(EndpointId endpoint) {
    return new Tenure(above(endpoint));
  }

  private FencingNumber above(EndpointId endpoint) {
    long counter = highest(endpoint).map(FencingNumber::counter).orElse(0L);
    return new FencingNumber(counter + 1, self);
  }

  private static FencingNumber higher(FencingNumber left, FencingNumber right) {
    return left.compareTo(right) >= 0 ? left : right;
  }

  /** A period during which this host owns an endpoint without interruption. */
  private static final class Tenure {
    private FencingNumber number;
    private boolean accepted;
    private int raises;

    Tenure(FencingNumber token) {
      this.number = token;
    }
  }
}
