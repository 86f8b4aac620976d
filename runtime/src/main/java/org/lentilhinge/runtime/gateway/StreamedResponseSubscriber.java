package org.lentilhinge.runtime.gateway;

import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonObject;
import java.util.Optional;
import org.lentilhinge.runtime.engine.EngineUsage;

/**
 * Writes a response as server-sent events. The next chunk is requested only when the write queue of
 * the response has room, so that a slow caller applies backpressure to the engine's stream. An
 * interrupted response ends with an event of type error and without the final event of a complete
 * response.
 */
final class StreamedResponseSubscriber extends ResponseSubscriber {

  private static final String LAST_EVENT = "data: [DONE]\n\n";

  private final boolean includeUsage;
  private Optional<EngineUsage> usage = Optional.empty();

  StreamedResponseSubscriber(
      HttpServerResponse response,
      ResponseFormat format,
      ResponseMetrics metrics,
      boolean includeUsage) {
    super(response, format, metrics);
    this.includeUsage = includeUsage;
  }

  @Override
  long initialDemand() {
    return 1;
  }

  @Override
  void handleChunk(CompletionChunk chunk, boolean first) {
    if (first) {
      writeHead();
    }
    usage = chunk.usage().or(() -> usage);
    response().write(event(format().chunkEvent(chunk)));
    if (response().writeQueueFull()) {
      response().drainHandler(ignored -> request(1));
    } else {
      request(1);
    }
  }

  @Override
  void finish() {
    if (!response().headWritten()) {
      writeHead();
    }
    if (includeUsage) {
      usage.ifPresent(tokenCounts -> response().write(event(format().usageEvent(tokenCounts))));
    }
    response().end(LAST_EVENT);
  }

  @Override
  void fail(Problem problem) {
    if (response().headWritten()) {
      response().end("event: error\n" + event(problem.toJson()));
    } else {
      ProblemWriter.write(response(), problem);
    }
  }

  private void writeHead() {
    response().setChunked(true);
    response().putHeader("Content-Type", "text/event-stream");
    response().putHeader("Cache-Control", "no-cache");
    if (format().hasOpeningEvent()) {
      response().write(event(format().openingEvent()));
    }
  }

  private static String event(JsonObject data) {
    return "data: " + data.encode() + "\n\n";
  }
}
