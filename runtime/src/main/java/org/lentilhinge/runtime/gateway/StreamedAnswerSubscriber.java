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
final class StreamedAnswerSubscriber extends AnswerSubscriber {

  private static final String LAST_EVENT = "data: [DONE]\n\n";

  private final boolean usageWanted;
  private Optional<EngineUsage> usage = Optional.empty();

  StreamedAnswerSubscriber(
      HttpServerResponse response, AnswerFormat format, AnswerMeter metrics, boolean includeUsage) {
    super(response, format, metrics);
    this.usageWanted = includeUsage;
  }

  @Override
  long initialDemand() {
    return 1;
  }

  @Override
  void write(AnswerPiece chunk, boolean first) {
    if (first) {
      open();
    }
    usage = chunk.usage().or(() -> usage);
    response().write(event(format().piece(chunk)));
    if (response().writeQueueFull()) {
      response().drainHandler(ignored -> request(1));
    } else {
      request(1);
    }
  }

  @Override
  void end() {
    if (!response().headWritten()) {
      open();
    }
    if (usageWanted) {
      usage.ifPresent(counted -> response().write(event(format().usage(counted))));
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

  private void open() {
    response().setChunked(true);
    response().putHeader("Content-Type", "text/event-stream");
    response().putHeader("Cache-Control", "no-cache");
    if (format().hasOpening()) {
      response().write(event(format().opening()));
    }
  }

  private static String event(JsonObject data) {
    return "data: " + data.encode() + "\n\n";
  }
}
