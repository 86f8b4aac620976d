package org.lentilhinge.runtime.platform;

import io.reactivex.rxjava3.core.Maybe;

/**
 * Reads and watches the values that the platform publishes. The service limits the rate of calls,
 * and every read and every watch counts as a call.
 */
public interface ConfigurationService {

  /**
   * Reads a value.
   *
   * @param key the key
   * @return the value, empty if the key has none, or an error if the service does not respond
   */
  Maybe<PublishedValue> read(String key);

  /**
   * Waits for a change of a value. Disposing of the subscription cancels the wait.
   *
   * @param key the key
   * @param afterRevision the revision that the current one must exceed for an immediate response; 0
   *     for any revision
   * @param waitMillis the maximum wait, in milliseconds
   * @return the value, empty if it has not changed, or an error if the service does not respond
   */
  Maybe<PublishedValue> watch(String key, long afterRevision, long waitMillis);
}
