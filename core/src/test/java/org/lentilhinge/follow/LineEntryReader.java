package org.lentilhinge.follow;

import java.util.ArrayList;
import java.util.List;
import org.lentilhinge.configuration.ConfigurationEntry;
import org.lentilhinge.configuration.EntryReader;
import org.lentilhinge.configuration.ParsedText;
import org.lentilhinge.finding.Findings;
import org.lentilhinge.finding.Place;

/** Splits the texts of these tests, which have one entry per line and no comments. */
final class LineEntryReader implements EntryReader {

  @Override
  public ParsedText read(String file, String text) {
    List<ConfigurationEntry> entries = new ArrayList<>();
    String section = "";
    int number = 0;
    for (String line : text.split("\n")) {
      number++;
      if (line.startsWith("[")) {
        section = line.substring(1, line.length() - 1);
      } else if (!line.isBlank()) {
        String[] words = line.split(" = ", 2);
        Place place = new Place(file, section, words[0], number);
        entries.add(new ConfigurationEntry(section, words[0], words[1], place));
      }
    }
    return new ParsedText(entries, List.of(), Findings.NONE);
  }
}
