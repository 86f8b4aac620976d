package org.lentilhinge.tools;

/** A subcommand of the program. */
public interface Tool {

  /**
   * Returns the name of the subcommand.
   *
   * @return the name that selects the subcommand
   */
  String name();

  /**
   * Returns a summary of the subcommand.
   *
   * @return one line
   */
  String summary();

  /**
   * Runs the subcommand.
   *
   * @param arguments the arguments after the subcommand
   * @return the exit code, one of {@link ExitCode}
   */
  int run(String... arguments);
}
