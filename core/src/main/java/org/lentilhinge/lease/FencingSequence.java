package org.lentilhinge.lease;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.FencingToken;
import org.lentilhinge.identity.HostId;

/**
 * Assigns the fencing tokens of this host's orders. Nothing is persisted: the first token of an
 * ownership term has a counter above the highest token that the endpoint has reported, in a report
 * or in the refusal of an order. Tokens with equal counters are ordered by host.
 *
 * <p>Call {@link #beginTerm} when an ownership term begins, {@link #token} before each order, and
 * {@link #onAccepted} or {@link #onRefused} after its reply.
 */
public final class FencingSequence {

  private static final int MAXIMUM_RAISES = 3;

  private final HostId self;
  private final Map<EndpointId, FencingToken> highestTokens = new HashMap<>();
  private final Map<EndpointId, Term> terms = new HashMap<>();

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
  public void onReported(EndpointId endpoint, FencingToken reported) {
    highestTokens.merge(endpoint, reported, FencingSequence::higher);
  }

  /**
   * Begins an ownership term; the next order gets a new token.
   *
   * @param endpoint the endpoint
   */
  public void beginTerm(EndpointId endpoint) {
    terms.remove(endpoint);
  }

  /**
   * Returns the token for the next order.
   *
   * @param endpoint the endpoint
   * @return the token, which stays the same until the term ends once the endpoint has accepted it
   */
  public FencingToken token(EndpointId endpoint) {
    return terms.computeIfAbsent(endpoint, this::newTerm).token;
  }

  /**
   * Records that an endpoint has accepted an order.
   *
   * @param endpoint the endpoint
   * @param token the order's token
   */
  public void onAccepted(EndpointId endpoint, FencingToken token) {
    onReported(endpoint, token);
    Term term = terms.get(endpoint);
    if (term != null && term.token.equals(token)) {
      term.accepted = true;
    }
  }

  /**
   * Records that an endpoint has refused an order. An endpoint refuses a token that it accepted
   * before only if a later owner has sent a higher token, so such a token is not raised again.
   *
   * @param endpoint the endpoint
   * @param token the order's token
   * @param reported the highest token that the endpoint has accepted
   * @return whether to retry the order or to release the endpoint
   */
  public FencingRefusalAction onRefused(
      EndpointId endpoint, FencingToken token, FencingToken reported) {
    onReported(endpoint, reported);
    Term term = terms.get(endpoint);
    if (term == null || term.accepted || term.raises >= MAXIMUM_RAISES) {
      return FencingRefusalAction.STEP_DOWN;
    }
    if (term.token.compareTo(token) == 0) {
      term.token = nextToken(endpoint);
      term.raises++;
    }
    return FencingRefusalAction.RETRY;
  }

  /**
   * Returns the highest known token of an endpoint.
   *
   * @param endpoint the endpoint
   * @return the token, or empty if none is known
   */
  public Optional<FencingToken> highestToken(EndpointId endpoint) {
    return Optional.ofNullable(highestTokens.get(endpoint));
  }

  private Term newTerm(EndpointId endpoint) {
    return new Term(nextToken(endpoint));
  }

  private FencingToken nextToken(EndpointId endpoint) {
    long counter = highestToken(endpoint).map(FencingToken::counter).orElse(0L);
    return new FencingToken(counter + 1, self);
  }

  private static FencingToken higher(FencingToken left, FencingToken right) {
    return left.compareTo(right) >= 0 ? left : right;
  }

  /** A period during which this host owns an endpoint without interruption. */
  private static final class Term {
    private FencingToken token;
    private boolean accepted;
    private int raises;

    Term(FencingToken token) {
      this.token = token;
    }
  }
}
