package org.lentilhinge.tools;

import java.util.Arrays;
import java.util.List;

/** The main program, which runs the subcommand that the first argument names. */
public final class Lentilhinge {

  private final Console console;
  private final List<Tool> tools;

  /**
   * Creates the program.
   *
   * @param console the output streams
   */
  public Lentilhinge(Console console) {
    this.console = console;
    this.tools =
        List.of(
            new ServeTool(console, StopSignal.onProcessSignal()),
            new TrialTool(console, StopSignal.onProcessSignal()),
            new EmulateTool(console, StopSignal.onProcessSignal()),
            new CheckTool(console),
            new DiffTool(console),
            new CheckPublishedTool(console),
            new StatusTool(console),
            new ReplayCommand(console));
  }

  /**
   * Runs the program.
   *
   * @param arguments the subcommand and its arguments
   */
  public static void main(String[] arguments) {
    System.exit(new Lentilhinge(Console.ofStandardStreams()).run(arguments));
  }

  /**
   * Runs a subcommand.
   *
   * @param arguments the subcommand and its arguments
   * @return the exit code, one of {@link ExitCode}
   */
  public int run(String... arguments) {
    if (arguments.length == 0) {
      return misuse("no subcommand given");
    }
    if (arguments[0].equals("--help")) {
      console.out().print(help());
      return ExitCode.DONE;
    }
    for (Tool tool : tools) {
      if (tool.name().equals(arguments[0])) {
        return tool.run(Arrays.copyOfRange(arguments, 1, arguments.length));
      }
    }
    return misuse("there is no subcommand '" + arguments[0] + "'");
  }

  /**
   * Returns the subcommands.
   *
   * @return the tools in the order of the help
   */
  public List<Tool> tools() {
    return tools;
  }

  private int misuse(String message) {
    console.err().println("lentilhinge: " + message + " (see: lentilhinge --help)");
    return ExitCode.MISUSE;
  }

  private record ReplayCommand(Console console) implements Tool {

    @Override
    public String name() {
      return "replay";
    }

    @Override
    public String summary() {
      return "Replays seeded arrivals in virtual time and compares with baselines.";
    }

    @Override
    public int run(String... arguments) {
      return new ReplayTool(console.out(), console.err()).run(arguments);
    }
  }

  private String help() {
    StringBuilder text = new StringBuilder("usage: lentilhinge SUBCOMMAND [OPTION]...\n\n");
    for (Tool tool : tools) {
      text.append(String.format("  %-15s %s%n", tool.name(), tool.summary()));
    }
    return text.append("\nEach subcommand describes itself with --help.\n").toString();
  }
}
