package org.lentilhinge.runtime.decision;

import com.google.common.flogger.FluentLogger;
import java.util.function.Consumer;

/** Writes one line for each decision to a sink. */
public final class DecisionLog {

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  private final DecisionFormat format;
  private final Consumer<String> sink;

  /**
   * Creates a log that writes its lines to a sink.
   *
   * @param format the format of the lines
   * @param sink receives each line
   */
  public DecisionLog(DecisionFormat format, Consumer<String> sink) {
    this.format = format;
    this.sink = sink;
  }

  /**
   * Creates a log that writes its lines through Flogger at the level INFO.
   *
   * @param format the format of the lines
   * @return the log
   */
  public static DecisionLog flogger(DecisionFormat format) {
    return new DecisionLog(format, line -> LOGGER.atInfo().log("%s", line));
  }

  /**
   * Writes a decision.
   *
   * @param decision the decision
   */
  public void write(Decision decision) {
    sink.accept(format.render(decision));
  }
}
