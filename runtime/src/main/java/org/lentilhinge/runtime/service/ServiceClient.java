package org.lentilhinge.runtime.service;

import io.reactivex.rxjava3.core.Single;
import java.util.function.BooleanSupplier;

/** Calls plain services. */
public interface ServiceClient {

  /**
   * Sends a call once. Each subscription is a separate attempt. The client never retries and never
   * follows redirects, and the returned single never fails.
   *
   * @param attempt the attempt
   * @param mayWrite evaluated immediately before the first byte is written; the call is not sent if
   *     the result is false
   * @return the result of the attempt
   */
  Single<ServiceAttemptResult> call(ServiceAttempt attempt, BooleanSupplier mayWrite);
}
