package org.lentilhinge.runtime.forward;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * The metadata of a caller's request, read from its headers.
 *
 * @param requestId the id of the request, unique to this attempt of the caller
 * @param remainingMillis the time until the caller's deadline, in milliseconds
 * @param generation the requested generation, if the request is for a model engine
 * @param resumeAfter the id of the last event that the caller has received
 * @param resumedRequestId the id of the request that received the first event of the stream that
 *     the caller resumes
 * @param apiKeys the values of all headers that contain the key of the caller
 * @param tokens the number of tokens that the request states, read and generated together
 */
public record RequestMetadata(
    Optional<String> requestId,
    OptionalLong remainingMillis,
    Optional<Generation> generation,
    Optional<String> resumeAfter,
    Optional<String> resumedRequestId,
    List<String> apiKeys,
    OptionalLong tokens) {

  /**
   * Copies the keys.
   *
   * @param requestId the id of the request
   * @param remainingMillis the time until the deadline
   * @param generation the requested generation
   * @param resumeAfter the id of the last event
   * @param resumedRequestId the id of the resumed request
   * @param apiKeys the keys
   * @param tokens the number of tokens
   */
  public RequestMetadata {
    apiKeys = List.copyOf(apiKeys);
  }

  /**
   * The parameters of a generation.
   *
   * @param model the base model
   * @param adapter the name of the adapter, or an empty string for the base model alone
   * @param promptTokens the number of tokens of the prompt
   * @param outputTokens the maximum number of tokens to generate
   * @param sharedParts the ids of the parts of the prompt that other prompts have, too
   */
  public record Generation(
      String model, String adapter, int promptTokens, int outputTokens, List<String> sharedParts) {

    /** A generation about which the request says nothing. */
    static final Generation UNKNOWN = new Generation("", "", 0, 0, List.of());

    /**
     * Copies the parts.
     *
     * @param model the base model
     * @param adapter the name of the adapter
     * @param promptTokens the number of tokens of the prompt
     * @param outputTokens the maximum number of tokens to generate
     * @param sharedParts the ids of the shared parts
     */
    public Generation {
      sharedParts = List.copyOf(sharedParts);
    }
  }
}
