package org.lentilhinge.tools;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.lentilhinge.configuration.EntrySection;
import org.lentilhinge.finding.Finding;
import org.lentilhinge.finding.Findings;

/** The output format of findings. */
enum FindingFormat {
  /** One line per finding. */
  TEXT,
  /** A JSON array of objects. */
  JSON;

  private static final String OPTION = "form";

  /** Adds the option that selects the format. */
  static void addOption(Options options) {
    options.addOption(
        Option.builder()
            .longOpt(OPTION)
            .hasArg()
            .argName("text|json")
            .desc("the format of the output (default: text)")
            .get());
  }

  /** Returns the format that the option selects. */
  static FindingFormat of(CommandLine line) throws ParseException {
    String value = line.getOptionValue(OPTION, "text");
    for (FindingFormat format : values()) {
      if (EntrySection.keyword(format).equals(value)) {
        return format;
      }
    }
    throw new ParseException("--form is neither text nor json: " + value);
  }

  /** Renders the findings, without a line feed at the end. */
  String render(Findings findings) {
    if (this == TEXT) {
      return findings.toString();
    }
    return array(findings).encodePrettily();
  }

  /** Returns the findings as a JSON array of objects. */
  static JsonArray array(Findings findings) {
    JsonArray array = new JsonArray();
    findings.list().forEach(finding -> array.add(object(finding)));
    return array;
  }

  private static JsonObject object(Finding finding) {
    return new JsonObject()
        .put("file", finding.place().file())
        .put("section", finding.place().section())
        .put("key", finding.place().key())
        .put("line", finding.place().line())
        .put("severity", EntrySection.keyword(finding.severity()))
        .put("message", finding.message());
  }
}
