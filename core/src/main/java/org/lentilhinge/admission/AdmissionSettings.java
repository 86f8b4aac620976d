package org.lentilhinge.admission;

import java.util.Map;
import org.lentilhinge.configuration.Caller;
import org.lentilhinge.identity.CallerId;

/**
 * The admission limits of a gateway.
 *
 * @param maximumQueued the maximum number of waiting requests
 * @param maximumQueueMillis the maximum expected wait of a request, in milliseconds
 * @param callers the callers with their shares and limits
 */
public record AdmissionSettings(
    int maximumQueued, long maximumQueueMillis, Map<CallerId, Caller> callers) {

  /**
   * Copies the callers.
   *
   * @param maximumQueued the maximum number of waiting requests
   * @param maximumQueueMillis the maximum expected wait
   * @param callers the callers
   */
  public AdmissionSettings {
    callers = Map.copyOf(callers);
  }

  int share(CallerId caller) {
    Caller declared = callers.get(caller);
    return declared == null ? 1 : Math.max(1, declared.share());
  }

  int maximumConcurrent(CallerId caller) {
    Caller declared = callers.get(caller);
    return declared == null ? Integer.MAX_VALUE : declared.maximumConcurrent();
  }
}
