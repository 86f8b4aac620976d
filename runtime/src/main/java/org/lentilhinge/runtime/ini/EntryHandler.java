package org.lentilhinge.runtime.ini;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.ini4j.spi.IniHandler;
import org.lentilhinge.configuration.ConfigurationEntry;
import org.lentilhinge.configuration.ParsedText;
import org.lentilhinge.finding.FindingCollector;
import org.lentilhinge.finding.Place;

/** Collects the entries of a text and their places during parsing. */
final class EntryHandler implements IniHandler {

  private final String file;
  private final LineReader reader;
  private final String resumedSection;
  private final FindingCollector collector = new FindingCollector();
  private final List<ConfigurationEntry> entries = new ArrayList<>();
  private final List<Place> emptySections = new ArrayList<>();
  private final Map<String, Integer> headerLines = new HashMap<>();
  private String section = "";
  private int entriesInSection;
  private boolean skippingEntries;

  /**
   * Creates a handler.
   *
   * @param file the name of the file
   * @param reader provides the current line number
   * @param resumedSection the placeholder name that the parser reports for a section in which it
   *     resumes after a malformed line
   */
  EntryHandler(String file, LineReader reader, String resumedSection) {
    this.file = file;
    this.reader = reader;
    this.resumedSection = resumedSection;
  }

  ParsedText text() {
    recordEmptySection();
    return new ParsedText(entries, emptySections, collector.findings());
  }

  void reportMalformedLine() {
    collector.error(
        new Place(file, section, "", reader.line()),
        "the line is not a section header, entry or comment");
    // Entries below a malformed section header belong to an unknown section and are skipped.
    skippingEntries = skippingEntries || reader.isAtHeader();
  }

  @Override
  public void startIni() {
    // The state is initialized by the constructor.
  }

  @Override
  public void endIni() {
    // The caller detects the end of the text through the reader.
  }

  @Override
  public void startSection(String name) {
    if (name.equals(resumedSection)) {
      return;
    }
    recordEmptySection();
    section = name.trim().replaceAll("\\s+", " ");
    entriesInSection = 0;
    skippingEntries = false;
    Integer firstLine = headerLines.putIfAbsent(section, reader.line());
    if (firstLine != null) {
      collector.error(
          Place.ofSection(file, section, reader.line()),
          "duplicate section, already defined at line " + firstLine);
    }
  }

  private void recordEmptySection() {
    if (!section.isEmpty() && entriesInSection == 0) {
      emptySections.add(Place.ofSection(file, section, headerLines.get(section)));
    }
  }

  @Override
  public void endSection() {
    // A section ends at the next header or at the end of the text.
  }

  @Override
  public void handleComment(String comment) {
    // Comments are ignored.
  }

  @Override
  public void handleOption(String key, String value) {
    entriesInSection++;
    if (skippingEntries) {
      return;
    }
    Place place = new Place(file, section, key, reader.line());
    if (section.isEmpty()) {
      collector.error(place, "the entry precedes the first section");
    } else if (value == null) {
      collector.error(place, "'=' is missing after the key");
    } else {
      entries.add(new ConfigurationEntry(section, key, value.trim(), place));
    }
  }
}
