/**
 * Controls the admission of requests to a gateway. An {@link
 * org.lentilhinge.admission.AdmissionQueue} decides which requests start, wait or are refused; it
 * orders them by urgency and shares the capacity fairly among callers.
 *
 * <p>A host calls {@code offer} for each classified request, {@code advance} whenever capacity may
 * have changed and at least every 50 ms, {@code onFinished} when a started request has ended, and
 * carries out the returned commands. A refusal is sent to the caller at once.
 */
package org.lentilhinge.admission;
