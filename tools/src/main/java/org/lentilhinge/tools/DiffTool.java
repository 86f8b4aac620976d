package org.lentilhinge.tools;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.lentilhinge.configuration.Configuration;
import org.lentilhinge.configuration.ConfigurationChange;
import org.lentilhinge.configuration.ConfigurationCheckResult;
import org.lentilhinge.configuration.ConfigurationDifference;

/** Lists the changes between two configurations, for review in version control. */
public final class DiffTool extends CommandLineTool {

  /**
   * Creates the tool.
   *
   * @param console the output streams
   */
  public DiffTool(Console console) {
    super(
        "diff",
        "Lists the changes of a new configuration against a previous one.",
        "OLD NEW",
        console);
  }

  @Override
  void addOptions(Options options) {
    FindingFormat.addOption(options);
  }

  @Override
  int run(CommandLine line) throws IOException, ParseException {
    FindingFormat format = FindingFormat.of(line);
    Optional<Configuration> previous = configuration(line.getArgList().get(0));
    Optional<Configuration> next = configuration(line.getArgList().get(1));
    if (previous.isEmpty() || next.isEmpty()) {
      return ExitCode.REJECTED;
    }
    ConfigurationDifference difference =
        ConfigurationDifference.between(previous.get(), next.get());
    if (!difference.changes().isEmpty()
        && !next.get().version().equals(previous.get().version())
        && next.get().version().compareTo(previous.get().version()) < 0) {
      console().err().println("lentilhinge diff: NEW has a lower version and would be ignored");
    }
    console().out().print(render(difference, format));
    return ExitCode.DONE;
  }

  private Optional<Configuration> configuration(String file) throws IOException {
    ConfigurationCheckResult result = new ConfigurationFile(file).check();
    if (!result.isAccepted()) {
      console().err().println(result.findings());
      reportFailure(ExitCode.REJECTED, file + " is refused");
    }
    return result.configuration();
  }

  /** Renders the changes, with a line feed at the end. */
  static String render(ConfigurationDifference difference, FindingFormat format) {
    if (format == FindingFormat.JSON) {
      return array(difference).encodePrettily() + "\n";
    }
    StringBuilder text = new StringBuilder();
    difference.changes().forEach(change -> text.append(change).append('\n'));
    return text.append(difference.changes().size()).append(" changes\n").toString();
  }

  /** Returns the changes as a JSON array of objects. */
  static JsonArray array(ConfigurationDifference difference) {
    JsonArray array = new JsonArray();
    difference.changes().forEach(change -> array.add(object(change)));
    return array;
  }

  private static JsonObject object(ConfigurationChange change) {
    JsonObject object = new JsonObject().put("subject", change.subject());
    change.before().ifPresent(text -> object.put("before", text));
    change.after().ifPresent(text -> object.put("after", text));
    return object;
  }
}
