package org.lentilhinge.tools;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.apache.commons.cli.help.HelpFormatter;
import org.apache.commons.cli.help.TextHelpAppendable;

/** Parses a subcommand's options and handles {@code --help} and misuse. */
abstract class CommandLineTool implements Tool {

  private static final String HELP = "help";
  private static final int HELP_WIDTH = 100;

  private final String name;
  private final String summary;
  private final String operands;
  private final Console console;

  /**
   * Creates a tool.
   *
   * @param name the subcommand
   * @param summary what the subcommand does, in one line
   * @param operands the operands after the options, such as {@code FILE}; empty if there are none
   * @param console the output streams
   */
  CommandLineTool(String name, String summary, String operands, Console console) {
    this.name = name;
    this.summary = summary;
    this.operands = operands;
    this.console = console;
  }

  @Override
  public final String name() {
    return name;
  }

  @Override
  public final String summary() {
    return summary;
  }

  @Override
  public final int run(String... arguments) {
    Options options = allOptions();
    try {
      CommandLine line = new DefaultParser(false).parse(options, arguments);
      if (line.hasOption(HELP)) {
        console.out().print(help());
        return ExitCode.DONE;
      }
      checkOperands(line);
      return run(line);
    } catch (ParseException exception) {
      return reportFailure(
          ExitCode.MISUSE, exception.getMessage() + " (see: lentilhinge " + name + " --help)");
    } catch (NoSuchFileException exception) {
      return reportFailure(ExitCode.UNAVAILABLE, exception.getMessage() + ": no such file");
    } catch (IOException exception) {
      return reportFailure(ExitCode.UNAVAILABLE, String.valueOf(exception.getMessage()));
    }
  }

  /**
   * Adds the subcommand's options.
   *
   * @param options the options to add to
   */
  abstract void addOptions(Options options);

  /**
   * Runs the subcommand.
   *
   * @param line the parsed options and operands
   * @return the exit code
   * @throws IOException if a file cannot be read
   * @throws ParseException if the value of an option is invalid
   */
  abstract int run(CommandLine line) throws IOException, ParseException;

  /** Returns the output streams. */
  final Console console() {
    return console;
  }

  /** Writes an error message and returns the exit code. */
  final int reportFailure(int exitCode, String message) {
    console.err().println("lentilhinge " + name + ": " + message);
    return exitCode;
  }

  /** Reads a text file. */
  static String read(String file) throws IOException {
    return Files.readString(Path.of(file));
  }

  /** Returns a description of the subcommand and its options. */
  final String help() throws IOException {
    StringBuilder text = new StringBuilder();
    TextHelpAppendable appendable = new TextHelpAppendable(text);
    appendable.setMaxWidth(HELP_WIDTH);
    String syntax = ("lentilhinge " + name + " [OPTION]... " + operands).trim();
    HelpFormatter.builder()
        .setHelpAppendable(appendable)
        .setShowSince(false)
        .get()
        .printHelp(syntax, summary, allOptions(), exitCodes(), false);
    return text.toString();
  }

  /** Returns a description of the exit codes. */
  String exitCodes() {
    return "Exit codes: 0 done, 1 refused, 2 wrong command line, 3 file, host or port unavailable.";
  }

  private Options allOptions() {
    Options options = new Options();
    addOptions(options);
    options.addOption(Option.builder().longOpt(HELP).desc("describe the command").get());
    return options;
  }

  private void checkOperands(CommandLine line) throws ParseException {
    int expected = operands.isEmpty() ? 0 : operands.split(" ").length;
    if (line.getArgList().size() != expected) {
      throw new ParseException(
          expected == 0
              ? "unexpected argument: " + line.getArgList().get(0)
              : "expected " + operands + ", but " + line.getArgList().size() + " given");
    }
  }
}
