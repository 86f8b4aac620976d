package org.lentilhinge.runtime.gateway;

import io.reactivex.rxjava3.core.Flowable;

/** Runs completions on engines, each with one or more attempts. */
@FunctionalInterface
public interface AttemptRunner {

  /**
   * Runs a completion. Cancelling the subscription cancels the completion on the engine.
   *
   * @param job the completion
   * @return the chunks of the complete response; fails with a {@link ProblemException} if the
   *     response cannot be started or completed
   */
  Flowable<CompletionChunk> run(CompletionJob job);
}
