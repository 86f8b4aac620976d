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
final class EngineRun {

  private static final String LAST_EVENT = "data: [DONE]\n\n";
  private static final String OTHER_ATTEMPT = "other-host/1/1/1";
  private static final String OTHER_MODEL = "other-adapter@1";

  private final HttpServerRequest request;
  private final CompletionKind kind;
  private final String attempt;
  private final AdapterVersion adapter;
  private final String prompt;
  private final int priority;
  private final int length;
  private final String finishReason;
  private final int promptTokens;
  private final Optional<PlannedFault> fault;
  private int next;
  private boolean silent;
  private volatile boolean ended;

  EngineRun(
      HttpServerRequest request,
      CompletionKind kind,
      String attempt,
      AdapterVersion adapter,
      JsonObject body,
      Optional<PlannedFault> fault) {
    this.request = request;
    this.kind = kind;
    this.attempt = attempt;
    this.adapter = adapter;
    this.prompt = prompt(kind, body);
    this.priority = body.getInteger("priority", 0);
    int fullLength = Math.max(body.getInteger("min_tokens", 0), AnswerText.length(adapter, prompt));
    this.length = Math.min(body.getInteger("max_tokens", Integer.MAX_VALUE), fullLength);
    this.finishReason = length < fullLength ? "length" : "stop";
    this.promptTokens = prompt.split("\\s+").length;
    this.next = body.getInteger("resume_offset", 0);
    this.fault = fault;
  }

  String attempt() {
    return attempt;
  }

  AdapterVersion adapter() {
    return adapter;
  }

  int priority() {
    return priority;
  }

  RanAttempt record() {
    return new RanAttempt(attempt, adapter, prompt, next);
  }

  HttpServerResponse response() {
    return request.response();
  }

  /** Returns whether the engine has ended the response itself, complete or with a fault. */
  boolean hasEnded() {
    return ended;
  }

  void open() {
    response().setChunked(true).putHeader("Content-Type", "text/event-stream");
    response().writeHead();
  }

  /** Writes the next token. Returns whether the response has ended. */
  boolean step() {
    if (silent) {
      return false;
    }
    Optional<StreamFault> due =
        fault.filter(planned -> planned.token() == next).map(PlannedFault::fault);
    if (due.isPresent()) {
      return stepWith(due.get());
    }
    write(attempt, adapter.toString());
    return advance();
  }

  private boolean stepWith(StreamFault due) {
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
        write(attempt, adapter.toString());
        write(attempt, adapter.toString());
      }
      case CROSS -> {
        write(OTHER_ATTEMPT, adapter.toString());
        write(attempt, adapter.toString());
      }
      case WRONG_MODEL -> write(attempt, OTHER_MODEL);
      default -> {
        // SKIP: the token is counted but not written.
      }
    }
    return advance();
  }

  private boolean advance() {
    next++;
    if (next < length) {
      return false;
    }
    ended = true;
    response().end(LAST_EVENT);
    return true;
  }

  private void write(String echoedAttempt, String echoedModel) {
    JsonObject choice = new JsonObject().put("index", 0);
    String text = AnswerText.token(adapter, prompt, next);
    if (kind == CompletionKind.CHAT) {
      choice.put("delta", new JsonObject().put("content", text));
    } else {
      choice.put("text", text);
    }
    choice.put("finish_reason", next + 1 < length ? null : finishReason);
    JsonObject usage =
        new JsonObject().put("prompt_tokens", promptTokens).put("completion_tokens", next + 1);
    JsonObject event =
        new JsonObject()
            .put("id", kind.idPrefix() + echoedAttempt)
            .put("object", kind.objectName())
            .put("model", echoedModel)
            .put("choices", new JsonArray().add(choice))
            .put("usage", usage)
            .put("offset", next)
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
