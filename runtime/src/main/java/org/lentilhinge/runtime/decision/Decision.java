package org.lentilhinge.runtime.decision;

import java.util.Optional;
import java.util.OptionalLong;
import org.lentilhinge.identity.AdapterVersion;
import org.lentilhinge.identity.CallerId;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.RequestId;

/**
 * One entry of the decision log. Created with {@link #of}; the {@code with} methods add the known
 * attributes.
 *
 * @param kind the kind of the decision
 * @param request the request, if the decision is about one
 * @param caller the caller, if there is one
 * @param adapter the adapter version, if there is one
 * @param endpoint the endpoint that was chosen, if there is one
 * @param reason the reason for the decision
 * @param waitMillis how long the request waited for the decision, in milliseconds
 */
public record Decision(
    DecisionKind kind,
    Optional<RequestId> request,
    Optional<CallerId> caller,
    Optional<AdapterVersion> adapter,
    Optional<EndpointId> endpoint,
    String reason,
    OptionalLong waitMillis) {

  /**
   * Creates a decision without a request, caller, adapter or endpoint.
   *
   * @param kind the kind of the decision
   * @param reason the reason for the decision
   * @return the decision
   */
  public static Decision of(DecisionKind kind, String reason) {
    return new Decision(
        kind,
        Optional.empty(),
        Optional.empty(),
        Optional.empty(),
        Optional.empty(),
        reason,
        OptionalLong.empty());
  }

  /**
   * Returns a copy of the decision with a request.
   *
   * @param value the request
   * @return the copy
   */
  public Decision withRequest(RequestId value) {
    return new Decision(kind, Optional.of(value), caller, adapter, endpoint, reason, waitMillis);
  }

  /**
   * Returns a copy of the decision with a caller.
   *
   * @param value the caller
   * @return the copy
   */
  public Decision withCaller(CallerId value) {
    return new Decision(kind, request, Optional.of(value), adapter, endpoint, reason, waitMillis);
  }

  /**
   * Returns a copy of the decision with an adapter version.
   *
   * @param value the adapter version
   * @return the copy
   */
  public Decision withAdapter(AdapterVersion value) {
    return new Decision(kind, request, caller, Optional.of(value), endpoint, reason, waitMillis);
  }

  /**
   * Returns a copy of the decision with an endpoint.
   *
   * @param value the endpoint
   * @return the copy
   */
  public Decision withEndpoint(EndpointId value) {
    return new Decision(kind, request, caller, adapter, Optional.of(value), reason, waitMillis);
  }

  /**
   * Returns a copy of the decision with another reason.
   *
   * @param value the reason for the decision
   * @return the copy
   */
  public Decision withReason(String value) {
    return new Decision(kind, request, caller, adapter, endpoint, value, waitMillis);
  }

  /**
   * Returns a copy of the decision with a wait.
   *
   * @param millis the wait in milliseconds
   * @return the copy
   */
  public Decision withWaitMillis(long millis) {
    return new Decision(kind, request, caller, adapter, endpoint, reason, OptionalLong.of(millis));
  }
}
