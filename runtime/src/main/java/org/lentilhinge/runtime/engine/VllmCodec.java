package org.lentilhinge.runtime.engine;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.lentilhinge.configuration.Urgency;
import org.lentilhinge.identity.AdapterId;
import org.lentilhinge.identity.AdapterVersion;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.FencingToken;
import org.lentilhinge.identity.HostId;

/** Converts between the records of this package and the JSON of vLLM's published interface. */
public final class VllmCodec {

  /** The header that carries the id of an attempt. */
  public static final String ATTEMPT_HEADER = "X-Request-Id";

  /** The header that carries the fencing token of an order. */
  public static final String FENCING_HEADER = "Lentilhinge-Fencing";

  private VllmCodec() {}

  /**
   * Encodes the body of a completion request.
   *
   * @param request the attempt
   * @return the body
   */
  public static JsonObject encode(EngineRequest request) {
    JsonObject body =
        request
            .body()
            .copy()
            .put("model", request.adapter().toString())
            .put("stream", true)
            .put("priority", priority(request.urgency()))
            .put("stream_options", streamOptions());
    ResumePoint resume = request.resume();
    if (resume.offset() > 0) {
      body.put("resume_offset", resume.offset()).put("resume_text", resume.text());
    }
    return body;
  }

  /**
   * Decodes one event of a completion stream.
   *
   * @param kind the completion interface
   * @param event the event's data
   * @return the chunk of the response
   */
  public static EngineChunk decode(CompletionKind kind, JsonObject event) {
    JsonObject choice = event.getJsonArray("choices", new JsonArray()).getJsonObject(0);
    Optional<EngineUsage> usage = usage(event);
    int tokens = event.getInteger("tokens", 1);
    int end = usage.map(EngineUsage::completionTokens).orElse(tokens);
    int offset = event.getInteger("offset", end - tokens);
    return new EngineChunk(
        stripPrefix(kind, event.getString("id", "")),
        event.getString("model", ""),
        offset,
        tokens,
        text(kind, choice),
        Optional.ofNullable(choice.getString("finish_reason")),
        usage);
  }

  /**
   * Decodes a load report.
   *
   * @param endpoint the engine
   * @param report the body of the report
   * @return the report
   */
  public static EngineReport decodeReport(EndpointId endpoint, JsonObject report) {
    List<AdapterVersion> resident =
        report.getJsonArray("resident", new JsonArray()).stream()
            .map(name -> decodeVersion((String) name))
            .toList();
    Set<String> attempts = new HashSet<>();
    report
        .getJsonArray("attempts", new JsonArray())
        .forEach(attempt -> attempts.add((String) attempt));
    return new EngineReport(
        endpoint,
        report.getString("incarnation", ""),
        report.getInteger("running", 0),
        report.getInteger("waiting", 0),
        resident,
        attempts,
        Optional.ofNullable(report.getString("highest_fencing"))
            .map(VllmCodec::decodeFencingToken));
  }

  /**
   * Parses an adapter version from its model name on engines.
   *
   * @param name the adapter and the version number, separated by an at sign
   * @return the adapter version
   * @throws IllegalArgumentException if the name is malformed
   */
  public static AdapterVersion decodeVersion(String name) {
    int separator = name.lastIndexOf('@');
    if (separator < 0) {
      throw new IllegalArgumentException("invalid adapter version: '" + name + "'");
    }
    AdapterId adapter = new AdapterId(name.substring(0, separator));
    return new AdapterVersion(adapter, Integer.parseInt(name.substring(separator + 1)));
  }

  /**
   * Parses a fencing token.
   *
   * @param value the counter and the host, separated by a colon
   * @return the fencing token
   * @throws IllegalArgumentException if the value is malformed
   */
  public static FencingToken decodeFencingToken(String value) {
    int separator = value.indexOf(':');
    if (separator < 0) {
      throw new IllegalArgumentException("invalid fencing token: '" + value + "'");
    }
    long counter = Long.parseLong(value.substring(0, separator));
    return new FencingToken(counter, new HostId(value.substring(separator + 1)));
  }

  private static JsonObject streamOptions() {
    return new JsonObject().put("include_usage", true).put("continuous_usage_stats", true);
  }

  /** Maps urgencies to vLLM priorities, where lower numbers are served first. */
  private static int priority(Urgency urgency) {
    return urgency.ordinal();
  }

  private static Optional<EngineUsage> usage(JsonObject event) {
    return Optional.ofNullable(event.getJsonObject("usage"))
        .map(
            usage ->
                new EngineUsage(
                    usage.getInteger("prompt_tokens", 0),
                    usage.getInteger("completion_tokens", 0)));
  }

  private static String text(CompletionKind kind, JsonObject choice) {
    if (kind == CompletionKind.TEXT) {
      return choice.getString("text", "");
    }
    return choice.getJsonObject("delta", new JsonObject()).getString("content", "");
  }

  private static String stripPrefix(CompletionKind kind, String id) {
    return id.startsWith(kind.idPrefix()) ? id.substring(kind.idPrefix().length()) : id;
  }
}
