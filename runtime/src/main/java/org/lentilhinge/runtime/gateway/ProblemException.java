package org.lentilhinge.runtime.gateway;

/** Thrown to end a request with a problem that is returned to the caller. */
public final class ProblemException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final Problem problem;

  /**
   * Creates an exception.
   *
   * @param problem the problem
   */
  public ProblemException(Problem problem) {
    super(problem.type() + ": " + problem.detail());
    this.problem = problem;
  }

  /**
   * Returns the problem.
   *
   * @return the problem
   */
  public Problem problem() {
    return problem;
  }
}
