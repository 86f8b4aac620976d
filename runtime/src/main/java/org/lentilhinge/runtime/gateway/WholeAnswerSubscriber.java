package org.lentilhinge.runtime.gateway;

import io.vertx.core.http.HttpServerResponse;
import java.util.Optional;
import org.lentilhinge.runtime.engine.EngineUsage;

/** Buffers a response and writes it as one JSON object when complete. */
final class WholeAnswerSubscriber extends AnswerSubscriber {

  private final StringBuilder text = new StringBuilder();
  private Optional<String> finishReason = Optional.empty();
  private Optional<EngineUsage> usage = Optional.empty();

  WholeAnswerSubscriber(HttpServerResponse response, AnswerFormat format, AnswerMeter metrics) {
    super(response, format, metrics);
  }

  @Override
  long initialDemand() {
    return Long.MAX_VALUE;
  }

  @Override
  void write(AnswerPiece chunk, boolean first) {
    text.append(chunk.text());
    finishReason = chunk.finishReason().or(() -> finishReason);
    usage = chunk.usage().or(() -> usage);
  }

  @Override
  void end() {
    response().putHeader("Content-Type", "application/json");
    response().end(format().whole(text.toString(), finishReason, usage).toBuffer());
  }

  @Override
  void fail(Problem problem) {
    ProblemWriter.write(response(), problem);
  }
}
