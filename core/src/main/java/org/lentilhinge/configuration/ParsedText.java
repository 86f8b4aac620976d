package org.lentilhinge.configuration;

import java.util.List;
import org.lentilhinge.finding.Findings;
import org.lentilhinge.finding.Place;

/**
 * The result of splitting a text by an {@link EntryReader}.
 *
 * @param entries the entries in the order of their lines
 * @param emptySections the places of the sections without entries
 * @param findings the findings about the text's syntax
 */
public record ParsedText(
    List<ConfigurationEntry> entries, List<Place> emptySections, Findings findings) {

  /**
   * Creates the result with copies of the lists.
   *
   * @param entries the entries
   * @param emptySections the places of the empty sections
   * @param findings the findings
   */
  public ParsedText {
    entries = List.copyOf(entries);
    emptySections = List.copyOf(emptySections);
  }
}
