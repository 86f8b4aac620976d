package org.lentilhinge.runtime.engine;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Single;
import java.util.function.BooleanSupplier;
import org.lentilhinge.identity.AttemptId;
import org.lentilhinge.identity.EndpointId;

/**
 * Client of model engines. All failures are {@link EngineException}s. The client never retries a
 * request.
 */
public interface EngineClient {

  /**
   * Runs an attempt. Each subscription sends the request once. The stream of the engine is read no
   * faster than the subscriber requests chunks. Cancelling the subscription closes the stream.
   *
   * @param request the attempt
   * @param mayWrite checked immediately before the bytes of the request are written; false
   *     withholds the request
   * @return the unchecked chunks of the response, in the order of arrival
   */
  Flowable<EngineChunk> run(EngineRequest request, BooleanSupplier mayWrite);

  /**
   * Requests the cancellation of an attempt.
   *
   * @param endpoint the engine
   * @param address the address of the engine
   * @param attempt the attempt
   * @return succeeds once the engine confirms that the attempt is not running; true if the engine
   *     cancelled the attempt, false if the attempt was unknown to the engine
   */
  Single<Boolean> cancel(EndpointId endpoint, String address, AttemptId attempt);

  /**
   * Loads an adapter version.
   *
   * @param order the order
   * @param mayWrite checked immediately before the bytes of the order are written; false withholds
   *     the order
   * @return completes once the version is resident
   */
  Completable load(EngineOrder order, BooleanSupplier mayWrite);

  /**
   * Unloads an adapter version.
   *
   * @param order the order
   * @param mayWrite checked immediately before the bytes of the order are written; false withholds
   *     the order
   * @return completes once the adapter slot of the version is free
   */
  Completable unload(EngineOrder order, BooleanSupplier mayWrite);

  /**
   * Requests the report of an engine.
   *
   * @param endpoint the engine
   * @param address the address of the engine
   * @return the report
   */
  Single<EngineReport> report(EndpointId endpoint, String address);
}
