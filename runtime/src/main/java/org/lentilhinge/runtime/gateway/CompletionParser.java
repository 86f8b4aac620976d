package org.lentilhinge.runtime.gateway;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import org.lentilhinge.routing.RequestAttributes;
import org.lentilhinge.runtime.engine.CompletionKind;

/** Parses and validates the body and the attributes of a completion request. */
final class CompletionParser {

  /** The attribute that carries the model from the body. */
  private static final String MODEL_ATTRIBUTE = "model";

  /** The prefix, in lower case, of the headers that carry attributes. */
  private static final String ATTRIBUTE_HEADER_PREFIX = "lentilhinge-attribute-";

  private static final int SINGLE_CHOICE = 1;

  private CompletionParser() {}

  /**
   * Parses a body.
   *
   * @param kind the completion interface
   * @param buffer the body, or null if there is none
   * @return the JSON object
   * @throws ProblemException if the body is malformed or requests an unsupported feature
   */
  static JsonObject parse(CompletionKind kind, Buffer buffer) {
    if (buffer == null || buffer.length() == 0) {
      throw problem(ProblemType.MALFORMED_BODY, "the body is empty");
    }
    JsonObject body;
    try {
      body = buffer.toJsonObject();
    } catch (DecodeException | ClassCastException exception) {
      throw problem(ProblemType.MALFORMED_BODY, "the body is no JSON object");
    }
    try {
      validate(kind, body);
    } catch (ClassCastException exception) {
      throw problem(ProblemType.MALFORMED_BODY, "a member of the body has the wrong type");
    }
    return body;
  }

  /** Collects the attributes that rules can match. */
  static RequestAttributes attributes(JsonObject body, MultiMap headers) {
    Map<String, String> values = new HashMap<>();
    headers.forEach(
        (name, value) -> {
          String lower = name.toLowerCase(Locale.ROOT);
          if (lower.startsWith(ATTRIBUTE_HEADER_PREFIX)) {
            values.put(lower.substring(ATTRIBUTE_HEADER_PREFIX.length()), value);
          }
        });
    // Only the body determines the model; a header must not override it.
    values.remove(MODEL_ATTRIBUTE);
    if (body.getString("model") != null) {
      values.put(MODEL_ATTRIBUTE, body.getString("model"));
    }
    return new RequestAttributes(values);
  }

  private static void validate(CompletionKind kind, JsonObject body) {
    if (!(body.getValue("model", "") instanceof String)) {
      throw problem(ProblemType.MALFORMED_BODY, "model is no string");
    }
    body.getBoolean("stream");
    Integer tokens = body.getInteger("max_tokens");
    if (tokens != null && tokens < 1) {
      throw problem(ProblemType.UNSUPPORTED, "max_tokens is below 1");
    }
    Integer choices = body.getInteger("n", SINGLE_CHOICE);
    if (choices == null || choices != SINGLE_CHOICE) {
      throw problem(ProblemType.UNSUPPORTED, "only one choice is offered, n must be 1");
    }
    if (kind == CompletionKind.CHAT) {
      validateMessages(body.getJsonArray("messages"));
    } else if (!(body.getValue("prompt") instanceof String)) {
      throw problem(ProblemType.MALFORMED_BODY, "prompt is missing or no string");
    }
  }

  private static void validateMessages(JsonArray messages) {
    if (messages == null || messages.isEmpty()) {
      throw problem(ProblemType.MALFORMED_BODY, "messages is missing or empty");
    }
    for (int index = 0; index < messages.size(); index++) {
      if (messages.getJsonObject(index).getString("role") == null) {
        throw problem(ProblemType.MALFORMED_BODY, "messages[" + index + "].role is missing");
      }
    }
  }

  private static ProblemException problem(ProblemType type, String detail) {
    return new ProblemException(Problem.of(type, detail));
  }
}
