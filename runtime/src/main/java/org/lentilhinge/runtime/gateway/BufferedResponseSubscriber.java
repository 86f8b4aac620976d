package org.lentilhinge.runtime.gateway;

import io.vertx.core.http.HttpServerResponse;
import java.util.Optional;
import org.lentilhinge.runtime.engine.EngineUsage;

/** Buffers a response and writes it as one JSON object when complete. */
final class BufferedResponseSubscriber extends ResponseSubscriber {

  private final StringBuilder text = new StringBuilder();
  private Optional<String> finishReason = Optional.empty();
  private Optional<EngineUsage> usage = Optional.empty();

  BufferedResponseSubscriber(
      HttpServerResponse response, ResponseFormat format, ResponseMetrics metrics) {
    super(response, format, metrics);
  }

  @Override
  long initialDemand() {
    return Long.MAX_VALUE;
  }

  @Override
  void handleChunk(CompletionChunk chunk, boolean first) {
    text.append(chunk.text());
    finishReason = chunk.finishReason().or(() -> finishReason);
    usage = chunk.usage().or(() -> usage);
  }

  @Override
  void finish() {
    response().putHeader("Content-Type", "application/json");
    response().end(format().completeResponse(text.toString(), finishReason, usage).toBuffer());
  }

  @Override
  void fail(Problem problem) {
    ProblemWriter.write(response(), problem);
  }
}
