package org.lentilhinge.tools;

import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.lentilhinge.configuration.ConfigurationDifference;
import org.lentilhinge.finding.Findings;
import org.lentilhinge.finding.Severity;
import org.lentilhinge.platform.PublishedFile;
import org.lentilhinge.published.check.CheckedConfiguration;
import org.lentilhinge.published.check.PublishedDifference;

/** Checks a configuration for the users' platform before it is published. */
public final class CheckPublishedTool extends CommandLineTool {

  private static final String AGAINST = "against";

  /**
   * Creates the tool.
   *
   * @param console the output streams
   */
  public CheckPublishedTool(Console console) {
    super(
        "check-published",
        "Checks a published configuration (JSON) and lists all findings and changes.",
        "FILE",
        console);
  }

  @Override
  void addOptions(Options options) {
    FindingFormat.addOption(options);
    options.addOption(
        Option.builder()
            .longOpt(AGAINST)
            .hasArg()
            .argName("FILE")
            .desc(
                "the configuration in force, to list the changes and check that the version rises")
            .get());
  }

  @Override
  int run(CommandLine line) throws IOException, ParseException {
    FindingFormat format = FindingFormat.of(line);
    String file = line.getArgList().get(0);
    PublishedFile next = PublishedFile.read(file, read(file));
    Optional<CheckedConfiguration> inForce = Optional.empty();
    if (line.hasOption(AGAINST)) {
      String former = line.getOptionValue(AGAINST);
      PublishedFile formerFile = PublishedFile.read(former, read(former));
      inForce = formerFile.configuration();
      if (inForce.isEmpty()) {
        console().err().println(formerFile.check(Optional.empty()));
        return reportFailure(ExitCode.REJECTED, former + " cannot be read by hosts");
      }
    }
    Findings findings = next.check(inForce.map(CheckedConfiguration::configuration));
    Optional<ConfigurationDifference> difference =
        inForce.flatMap(
            former ->
                next.configuration()
                    .map(configuration -> PublishedDifference.between(former, configuration)));
    if (format == FindingFormat.JSON) {
      console().out().println(json(findings, difference).encodePrettily());
    } else {
      print(file, findings, difference);
    }
    return findings.hasErrors() ? ExitCode.REJECTED : ExitCode.DONE;
  }

  private static JsonObject json(Findings findings, Optional<ConfigurationDifference> difference) {
    JsonObject object = new JsonObject().put("findings", FindingFormat.array(findings));
    difference.ifPresent(changes -> object.put("changes", DiffTool.array(changes)));
    return object;
  }

  private void print(String file, Findings findings, Optional<ConfigurationDifference> difference) {
    if (!findings.list().isEmpty()) {
      console().out().println(findings);
    }
    difference.ifPresent(
        changes -> console().out().print(DiffTool.render(changes, FindingFormat.TEXT)));
    console()
        .out()
        .println(
            file
                + ": "
                + (findings.hasErrors() ? "refused" : "accepted")
                + ", "
                + findings.count(Severity.ERROR)
                + " errors, "
                + findings.count(Severity.WARNING)
                + " warnings");
  }
}
