package org.lentilhinge.admission;

import org.lentilhinge.configuration.Urgency;
import org.lentilhinge.identity.CallerId;
import org.lentilhinge.identity.RequestId;

/**
 * A request to be admitted.
 *
 * @param id the id of the request
 * @param caller the caller
 * @param urgency the urgency of the request
 * @param arrivedAtMillis the monotonic time at which the request arrived, in milliseconds
 * @param deadlineMillis the monotonic time by which the request must have started, in milliseconds
 */
public record AdmissionRequest(
    RequestId id, CallerId caller, Urgency urgency, long arrivedAtMillis, long deadlineMillis) {}
