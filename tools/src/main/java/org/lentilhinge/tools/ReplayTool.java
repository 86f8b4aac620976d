package org.lentilhinge.tools;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.lentilhinge.replay.Contender;
import org.lentilhinge.replay.ReplayCase;
import org.lentilhinge.replay.ReplayReport;
import org.lentilhinge.replay.Workload;

/**
 * Replays seeded arrivals in virtual time and prints a table that compares the routing and
 * placement of lentilhinge with simple baselines.
 */
public final class ReplayTool {

  private static final int SUCCESS = 0;
  private static final int MISUSE = 2;
  private static final String DEFAULT_SEED = "1";
  private static final String DEFAULT_SECONDS = "600";
  private static final double MILLIS_PER_SECOND = 1000.0;
  private static final String USAGE =
      """
      Usage: lentilhinge replay [OPTIONS]
      Replays seeded arrivals at the users' current sizes in virtual time and prints load stalls,
      batch efficiency, loads, bytes over the regional link and refusals, compared with baselines.

        --user NAME      regulalux, kanalvizia or both (default both)
        --case NAME      steady, popularity-shift, cold-engines, failing-loads, double-capacity,
                         lost-zone or all (default all)
        --policy NAME    baseline, hashing, lentilhinge or all (default all)
        --seed NUMBER    seed of arrivals, failures and ties (default 1)
        --seconds NUMBER measured virtual seconds of each run (default 600)
        --rate NUMBER    requests per second, instead of the user's own
        --skew NUMBER    exponent of the adapters' Zipf distribution, instead of the user's own
        --active NUMBER  share of concurrently active adapters, instead of the user's own
        --help           print this text

      Exit codes: 0 the table was printed, 2 misuse.
      """;

  private final PrintStream output;
  private final PrintStream errorOutput;

  /**
   * Creates the tool.
   *
   * @param output the stream of the table
   * @param errors the stream of error messages
   */
  public ReplayTool(PrintStream output, PrintStream errors) {
    this.output = output;
    this.errorOutput = errors;
  }

  /**
   * Runs the tool.
   *
   * @param arguments the arguments after the subcommand's name
   * @return the exit code
   */
  public int run(String[] arguments) {
    try {
      CommandLine line = new DefaultParser(false).parse(options(), arguments);
      if (line.hasOption("help")) {
        output.print(USAGE);
        return SUCCESS;
      }
      report(line).print(output::println);
      return SUCCESS;
    } catch (ParseException | IllegalArgumentException exception) {
      errorOutput.println("lentilhinge replay: " + exception.getMessage());
      return MISUSE;
    }
  }

  private static ReplayReport report(CommandLine line) throws ParseException {
    if (!line.getArgList().isEmpty()) {
      throw new ParseException("unexpected argument '" + line.getArgList().get(0) + "'");
    }
    long seed = (long) number(line, "seed", DEFAULT_SEED);
    double seconds = number(line, "seconds", DEFAULT_SECONDS);
    return new ReplayReport(
        workloads(line),
        chosen(line, "case", ReplayCase.values()),
        chosen(line, "policy", Contender.values()),
        seed,
        (long) (seconds * MILLIS_PER_SECOND));
  }

  private static List<Workload> workloads(CommandLine line) throws ParseException {
    List<Workload> workloads =
        switch (line.getOptionValue("user", "both")) {
          case "regulalux" -> List.of(Workload.regulalux());
          case "kanalvizia" -> List.of(Workload.kanalvizia());
          case "both" -> List.of(Workload.regulalux(), Workload.kanalvizia());
          default -> throw new ParseException("unknown user '" + line.getOptionValue("user") + "'");
        };
    List<Workload> adjusted = new ArrayList<>();
    for (Workload workload : workloads) {
      Workload ratedWorkload =
          line.hasOption("rate") ? workload.withRate(number(line, "rate", "")) : workload;
      Workload skewedWorkload =
          line.hasOption("skew") ? ratedWorkload.withSkew(number(line, "skew", "")) : ratedWorkload;
      adjusted.add(
          line.hasOption("active")
              ? skewedWorkload.withActiveFraction(Math.min(1, number(line, "active", "")))
              : skewedWorkload);
    }
    return adjusted;
  }

  private static <T extends Enum<T>> List<T> chosen(CommandLine line, String option, T[] values)
      throws ParseException {
    String name = line.getOptionValue(option, "all");
    if (name.equals("all")) {
      return Arrays.asList(values);
    }
    for (T value : values) {
      if (value.name().toLowerCase(Locale.ROOT).replace('_', '-').equals(name)) {
        return List.of(value);
      }
    }
    throw new ParseException("unknown " + option + " '" + name + "'");
  }

  private static double number(CommandLine line, String option, String fallback)
      throws ParseException {
    String text = line.getOptionValue(option, fallback);
    try {
      double number = Double.parseDouble(text);
      if (number <= 0) {
        throw new ParseException("--" + option + " must be above 0, not " + text);
      }
      return number;
    } catch (NumberFormatException exception) {
      throw new ParseException("--" + option + " is not a number: '" + text + "'");
    }
  }

  private static Options options() {
    Options options = new Options();
    options.addOption(Option.builder().longOpt("user").hasArg().get());
    options.addOption(Option.builder().longOpt("case").hasArg().get());
    options.addOption(Option.builder().longOpt("policy").hasArg().get());
    options.addOption(Option.builder().longOpt("seed").hasArg().get());
    options.addOption(Option.builder().longOpt("seconds").hasArg().get());
    options.addOption(Option.builder().longOpt("rate").hasArg().get());
    options.addOption(Option.builder().longOpt("skew").hasArg().get());
    options.addOption(Option.builder().longOpt("active").hasArg().get());
    options.addOption(Option.builder().longOpt("help").get());
    return options;
  }
}
