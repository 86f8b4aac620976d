package org.lentilhinge.emulator.engine;

import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.Optional;
import org.lentilhinge.emulator.engine.EngineFaults.PlannedFault;
import org.lentilhinge.identity.AdapterVersion;
import org.lentilhinge.runtime.engine.CompletionKind;

/** Streams the response of one attempt, one token per step. */
final class EngineAttempt {

  private static final String LAST_EVENT = "data: [DONE]\n\n";
  private static final String OTHER_ATTEMPT = "other-host/1/1/1";
  private static final String OTHER_MODEL = "other-adapter@1";

  private final HttpServerRequest request;
  private final CompletionKind kind;
  private final String attemptId;
  private final AdapterVersion adapter;
  private final String prompt;
  private final int priority;
  private final int length;
  private final String finishReason;
  private final int promptTokens;
  private final Optional<PlannedFault> fault;
  private int nextToken;
  private boolean silent;
  private volatile boolean ended;

  EngineAttempt(
      HttpServerRequest request,
      CompletionKind kind,
      String attemptId,
      AdapterVersion adapter,
      JsonObject body,
      Optional<PlannedFault> fault) {
    this.request = request;
    this.kind = kind;
    this.attemptId = attemptId;
    this.adapter = adapter;
    this.prompt = prompt(kind, body);
    this.priority = body.getInteger("priority", 0);
    int fullLength =
        Math.max(body.getInteger("min_tokens", 0), GeneratedText.length(adapter, prompt));
    this.length = Math.min(body.getInteger("max_tokens", Integer.MAX_VALUE), fullLength);
    this.finishReason = length < fullLength ? "length" : "stop";
    this.promptTokens = prompt.split("\\s+").length;
    this.nextToken = body.getInteger("resume_offset", 0);
    this.fault = fault;
  }

  String attemptId() {
    return attemptId;
  }

  AdapterVersion adapter() {
    return adapter;
  }

  int priority() {
    return priority;
  }

  AcceptedAttempt toAcceptedAttempt() {
    return new AcceptedAttempt(attemptId, adapter, prompt, nextToken);
  }

  HttpServerResponse response() {
    return request.response();
  }

  /** Returns whether the engine has ended the response itself, complete or with a fault. */
  boolean hasEnded() {
    return ended;
  }

  void startResponse() {
    response().setChunked(true).putHeader("Content-Type", "text/event-stream");
    response().writeHead();
  }

  /** Writes the next token. Returns whether the response has ended. */
  boolean step() {
    if (silent) {
      return false;
    }
    Optional<StreamFault> due =
        fault.filter(planned -> planned.token() == nextToken).map(PlannedFault::fault);
    if (due.isPresent()) {
      return stepWithFault(due.get());
    }
    writeToken(attemptId, adapter.toString());
    return advance();
  }

  private boolean stepWithFault(StreamFault due) {
    switch (due) {
      case SILENT -> {
        silent = true;
        return false;
      }
      case CRASH -> {
        ended = true;
        request.connection().close();
        return true;
      }
      case TRUNCATE -> {
        ended = true;
        response().end();
        return true;
      }
      case END_EARLY -> {
        ended = true;
        response().end(LAST_EVENT);
        return true;
      }
      case DUPLICATE -> {
        writeToken(attemptId, adapter.toString());
        writeToken(attemptId, adapter.toString());
      }
      case CROSS -> {
        writeToken(OTHER_ATTEMPT, adapter.toString());
        writeToken(attemptId, adapter.toString());
      }
      case WRONG_MODEL -> writeToken(attemptId, OTHER_MODEL);
      default -> {
        // SKIP: the token is counted but not written.
      }
    }
    return advance();
  }

  private boolean advance() {
    nextToken++;
    if (nextToken < length) {
      return false;
    }
    ended = true;
    response().end(LAST_EVENT);
    return true;
  }

  private void writeToken(String echoedAttempt, String echoedModel) {
    JsonObject choice = new JsonObject().put("index", 0);
    String text = GeneratedText.token(adapter, prompt, nextToken);
    if (kind == CompletionKind.CHAT) {
      choice.put("delta", new JsonObject().put("content", text));
    } else {
      choice.put("text", text);
    }
    choice.put("finish_reason", nextToken + 1 < length ? null : finishReason);
    JsonObject usage =
        new JsonObject().put("prompt_tokens", promptTokens).put("completion_tokens", nextToken + 1);
    JsonObject event =
        new JsonObject()
            .put("id", kind.idPrefix() + echoedAttempt)
            .put("object", kind.objectName())
            .put("model", echoedModel)
            .put("choices", new JsonArray().add(choice))
            .put("usage", usage)
            .put("offset", nextToken)
            .put("tokens", 1);
    response().write("data: " + event.encode() + "\n\n");
  }

  private static String prompt(CompletionKind kind, JsonObject body) {
    if (kind == CompletionKind.TEXT) {
      return body.getString("prompt", "");
    }
    StringBuilder text = new StringBuilder();
    JsonArray messages = body.getJsonArray("messages", new JsonArray());
    for (int index = 0; index < messages.size(); index++) {
      text.append(messages.getJsonObject(index).getString("content", "")).append('\n');
    }
    return text.toString();
  }
}
