package org.lentilhinge.follow;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.lentilhinge.configuration.ConfigurationEntry;
import org.lentilhinge.configuration.ParsedText;
import org.lentilhinge.finding.FindingCollector;
import org.lentilhinge.finding.Findings;
import org.lentilhinge.identity.ConfigurationVersion;

/**
 * The version and the references of a published text. The text under the published key may contain
 * the complete configuration, refer to parts in a section {@code [parts]}, or refer in a section
 * {@code [indexes]} to index texts that have a section {@code [parts]} themselves.
 *
 * @param version the version, or empty if the text states none
 * @param indexes the index texts, which refer to parts
 * @param parts the parts, which contain sections of the configuration
 * @param findings the errors in the references
 */
public record Manifest(
    Optional<ConfigurationVersion> version,
    List<PartReference> indexes,
    List<PartReference> parts,
    Findings findings) {

  /** The section that refers to parts. */
  public static final String PARTS = "parts";

  /** The section that refers to index texts, which refer to parts. */
  public static final String INDEXES = "indexes";

  private static final String CONFIGURATION = "configuration";
  private static final String VERSION = "version";

  /**
   * Creates the manifest of a text.
   *
   * @param text the text's entries
   * @return the manifest
   */
  public static Manifest of(ParsedText text) {
    FindingCollector collector = new FindingCollector();
    List<PartReference> indexes = references(text.entries(), INDEXES, collector);
    List<PartReference> parts = references(text.entries(), PARTS, collector);
    return new Manifest(version(text.entries()), indexes, parts, collector.findings());
  }

  /**
   * Indicates whether the text refers to other texts.
   *
   * @return whether the text contains a reference
   */
  public boolean hasReferences() {
    return !indexes.isEmpty() || !parts.isEmpty();
  }

  /**
   * Indicates whether an entry is a reference, which declares nothing itself.
   *
   * @param entry the entry
   * @return whether the entry is in a section of references
   */
  public static boolean isReference(ConfigurationEntry entry) {
    return entry.section().equals(PARTS) || entry.section().equals(INDEXES);
  }

  private static List<PartReference> references(
      List<ConfigurationEntry> entries, String section, FindingCollector collector) {
    List<PartReference> references = new ArrayList<>();
    for (ConfigurationEntry entry : entries) {
      if (entry.section().equals(section)) {
        reference(entry, collector).ifPresent(references::add);
      }
    }
    return references;
  }

  private static Optional<PartReference> reference(
      ConfigurationEntry entry, FindingCollector collector) {
    try {
      return Optional.of(new PartReference(entry.key(), new PartDigest(entry.value())));
    } catch (IllegalArgumentException exception) {
      collector.error(entry.place(), exception.getMessage());
      return Optional.empty();
    }
  }

  private static Optional<ConfigurationVersion> version(List<ConfigurationEntry> entries) {
    return entries.stream()
        .filter(entry -> entry.section().equals(CONFIGURATION) && entry.key().equals(VERSION))
        .findFirst()
        .flatMap(entry -> parseVersion(entry.value()));
  }

  private static Optional<ConfigurationVersion> parseVersion(String value) {
    try {
      long number = Long.parseLong(value);
      return number < 1 ? Optional.empty() : Optional.of(new ConfigurationVersion(number));
    } catch (NumberFormatException exception) {
      return Optional.empty();
    }
  }
}
