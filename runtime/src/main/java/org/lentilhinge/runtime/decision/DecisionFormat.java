package org.lentilhinge.runtime.decision;

/** Formats a decision as one line of text. */
@FunctionalInterface
public interface DecisionFormat {

  /**
   * Formats a decision.
   *
   * @param decision the decision
   * @return one line without a line terminator
   */
  String render(Decision decision);
}
