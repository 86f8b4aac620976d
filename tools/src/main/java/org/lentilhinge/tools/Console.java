package org.lentilhinge.tools;

import java.io.PrintStream;

/**
 * The output streams of a command.
 *
 * @param out the stream for results
 * @param err the stream for error messages
 */
public record Console(PrintStream out, PrintStream err) {

  /**
   * Returns a console with the standard streams of the process.
   *
   * @return the console
   */
  public static Console ofStandardStreams() {
    return new Console(System.out, System.err);
  }
}
