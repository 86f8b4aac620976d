package org.lentilhinge.tools;

/** The exit codes of the program. */
public final class ExitCode {

  /** The command succeeded. */
  public static final int DONE = 0;

  /** The command ran with a negative result: a file was rejected or a host is not ready. */
  public static final int REJECTED = 1;

  /** The command line is invalid. */
  public static final int MISUSE = 2;

  /** A file cannot be read, a host cannot be reached or a port is in use. */
  public static final int UNAVAILABLE = 3;

  private ExitCode() {}
}
