package org.lentilhinge.runtime.gateway;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.Optional;
import org.lentilhinge.identity.AdapterVersion;
import org.lentilhinge.identity.RequestId;
import org.lentilhinge.runtime.engine.CompletionKind;
import org.lentilhinge.runtime.engine.EngineUsage;

/** Renders responses in the format of OpenAI's completion interfaces. */
final class ResponseFormat {

  private final CompletionKind kind;
  private final String id;
  private final String model;
  private final long createdSeconds;

  ResponseFormat(
      CompletionKind kind, RequestId request, AdapterVersion adapter, long createdSeconds) {
    this.kind = kind;
    this.id = kind.idPrefix() + request;
    this.model = adapter.toString();
    this.createdSeconds = createdSeconds;
  }

  /** Renders the first event of a chat stream, which carries the role. */
  JsonObject openingEvent() {
    JsonObject delta = new JsonObject().put("role", "assistant").put("content", "");
    return event(new JsonObject().put("index", 0).put("delta", delta).putNull("finish_reason"));
  }

  /** Renders one chunk of a stream. */
  JsonObject chunkEvent(CompletionChunk chunk) {
    JsonObject choice = new JsonObject().put("index", 0);
    if (kind == CompletionKind.CHAT) {
      choice.put("delta", new JsonObject().put("content", chunk.text()));
    } else {
      choice.put("text", chunk.text());
    }
    return event(choice.put("finish_reason", chunk.finishReason().orElse(null)));
  }

  /** Renders the last event of a stream whose caller requested the usage. */
  JsonObject usageEvent(EngineUsage usage) {
    return envelope(streamObject()).put("choices", new JsonArray()).put("usage", render(usage));
  }

  /** Renders a complete response. */
  JsonObject completeResponse(
      String text, Optional<String> finishReason, Optional<EngineUsage> usage) {
    JsonObject choice = new JsonObject().put("index", 0);
    if (kind == CompletionKind.CHAT) {
      choice.put("message", new JsonObject().put("role", "assistant").put("content", text));
    } else {
      choice.put("text", text);
    }
    choice.put("finish_reason", finishReason.orElse(null));
    JsonObject response = envelope(kind.objectName()).put("choices", new JsonArray().add(choice));
    usage.ifPresent(tokenCounts -> response.put("usage", render(tokenCounts)));
    return response;
  }

  boolean hasOpeningEvent() {
    return kind == CompletionKind.CHAT;
  }

  private JsonObject event(JsonObject choice) {
    return envelope(streamObject()).put("choices", new JsonArray().add(choice));
  }

  private String streamObject() {
    return kind == CompletionKind.CHAT ? kind.objectName() + ".chunk" : kind.objectName();
  }

  private JsonObject envelope(String object) {
    return new JsonObject()
        .put("id", id)
        .put("object", object)
        .put("created", createdSeconds)
        .put("model", model);
  }

  private static JsonObject render(EngineUsage usage) {
    return new JsonObject()
        .put("prompt_tokens", usage.promptTokens())
        .put("completion_tokens", usage.completionTokens())
        .put("total_tokens", usage.promptTokens() + usage.completionTokens());
  }
}
