package org.lentilhinge.tools;

import io.vavr.control.Either;
import java.io.IOException;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.lentilhinge.configuration.ParsedText;
import org.lentilhinge.finding.Findings;
import org.lentilhinge.finding.Severity;
import org.lentilhinge.runtime.forward.ForwardSettingsReader;
import org.lentilhinge.runtime.ini.IniReader;
import org.lentilhinge.runtime.settings.SettingsReader;

/** Checks a configuration or settings file and lists all findings. */
public final class CheckTool extends CommandLineTool {

  private static final String SETTINGS = "settings";
  private static final String HOST_SECTION = "host";

  private final IniReader reader = new IniReader();

  /**
   * Creates the tool.
   *
   * @param console the output streams
   */
  public CheckTool(Console console) {
    super(
        "check",
        "Checks a configuration or settings file and lists all findings.",
        "FILE",
        console);
  }

  @Override
  void addOptions(Options options) {
    FindingFormat.addOption(options);
    options.addOption(
        Option.builder()
            .longOpt(SETTINGS)
            .desc("treat FILE as settings (default: only if it has a section [host])")
            .get());
  }

  @Override
  int run(CommandLine line) throws IOException, ParseException {
    FindingFormat format = FindingFormat.of(line);
    String file = line.getArgList().get(0);
    String text = read(file);
    Findings findings =
        line.hasOption(SETTINGS) || hasHostSection(file, text)
            ? checkSettings(file, text)
            : new ConfigurationFile(file).check().findings();
    print(file, findings, format);
    return findings.hasErrors() ? ExitCode.REJECTED : ExitCode.DONE;
  }

  private boolean hasHostSection(String file, String text) {
    ParsedText parsedText = reader.read(file, text);
    return parsedText.entries().stream().anyMatch(entry -> entry.section().equals(HOST_SECTION));
  }

  private Findings checkSettings(String file, String text) {
    Either<Findings, ?> result =
        ForwardSettingsReader.isForwarding(text)
            ? new ForwardSettingsReader(reader).read(file, text)
            : new SettingsReader(reader).read(file, text);
    return result.isLeft() ? result.getLeft() : Findings.NONE;
  }

  private void print(String file, Findings findings, FindingFormat format) {
    if (format == FindingFormat.JSON || !findings.list().isEmpty()) {
      console().out().println(format.render(findings));
    }
    if (format == FindingFormat.TEXT) {
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
}
