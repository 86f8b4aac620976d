package org.lentilhinge.runtime.forward;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * What a caller says of its request beside route and body.
 *
 * @param requestId the request's id, unique to this attempt of the caller
 * @param deadlineMillis how long the caller will wait, in milliseconds
 * @param generation what is asked of a model engine, if anything
 * @param resumeAfter the id of the last event that the caller has
 */
public record CallerHead(
    Optional<String> requestId,
    OptionalLong deadlineMillis,
    Optional<Generation> generation,
    Optional<String> resumeAfter) {

  /**
   * Describes a generation.
   *
   * @param model the base model
   * @param adapter the adapter's name, or an empty text for the base model alone
   * @param promptTokens the tokens to read
   * @param outputTokens the most tokens to generate
   */
  public record Generation(String model, String adapter, int promptTokens, int outputTokens) {}
}
