package org.lentilhinge.runtime.forward;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lentilhinge.allowance.AllowanceBounds;
import org.lentilhinge.configuration.ConfigurationEntry;
import org.lentilhinge.configuration.EntryReader;
import org.lentilhinge.configuration.EntrySection;
import org.lentilhinge.configuration.ParsedText;
import org.lentilhinge.configuration.Unit;
import org.lentilhinge.finding.FindingCollector;
import org.lentilhinge.finding.Findings;
import org.lentilhinge.finding.Place;
import org.lentilhinge.zone.ZoneTrafficSettings;

/** Reads the settings of a host of the forwarding path, and reports all findings in one pass. */
public final class ForwardSettingsReader {

  /** The section that distinguishes these settings from those of the completions interface. */
  public static final String FORWARDING_SECTION = "[callers]";

  private static final List<String> SECTIONS =
      List.of(
          "host",
          "zones",
          "callers",
          "ready",
          "peer",
          "store",
          "metrics",
          "bounds",
          "zone-traffic");

  private static final List<String> ZONE_TRAFFIC_KEYS =
      List.of("zone-price", "region-price", "region-bandwidth", "region-bandwidth-share");

  private static final int HIGHEST_PORT = 65_535;

  private final EntryReader entryReader;

  /**
   * Creates a reader.
   *
   * @param entryReader parses a text into entries
   */
  public ForwardSettingsReader(EntryReader entryReader) {
    this.entryReader = entryReader;
  }

  /**
   * Indicates whether a text contains settings of the forwarding path.
   *
   * @param text the text
   * @return whether the text contains the section {@link #FORWARDING_SECTION}
   */
  public static boolean isForwarding(String text) {
    return text.lines().anyMatch(line -> line.trim().equals(FORWARDING_SECTION));
  }

  /**
   * Reads settings.
   *
   * @param file the name of the file, which is shown in findings
   * @param text the text of the file
   * @return the settings, or the findings if there are errors among them
   */
  public Either<Findings, ForwardSettings> read(String file, String text) {
    ParsedText parsedText = entryReader.read(file, text);
    FindingCollector collector = new FindingCollector();
    collector.addAll(parsedText.findings());
    Map<String, EntrySection> sections = sections(file, parsedText.entries(), collector);
    ForwardSettings settings = settings(sections);
    sections.values().forEach(EntrySection::reportUnknownKeys);
    Findings findings = collector.findings();
    return findings.hasErrors() ? Either.left(findings) : Either.right(settings);
  }

  private static Map<String, EntrySection> sections(
      String file, List<ConfigurationEntry> entries, FindingCollector collector) {
    Map<String, EntrySection> sections = new LinkedHashMap<>();
    for (EntrySection section : EntrySection.group(entries, collector)) {
      if (SECTIONS.contains(section.name())) {
        sections.put(section.name(), section);
      } else {
        section.error(section.place(), "section is unknown");
      }
    }
    for (String name : SECTIONS) {
      Place place = Place.ofSection(file, name, 0);
      sections.computeIfAbsent(
          name, unused -> new EntrySection(name, place, new ArrayList<>(), collector));
    }
    return sections;
  }

  private static ForwardSettings settings(Map<String, EntrySection> sections) {
    EntrySection host = sections.get("host");
    EntrySection peer = sections.get("peer");
    return new ForwardSettings(
        host.text("name"),
        host.text("zone"),
        host.text("region"),
        zones(sections.get("zones")),
        sections.get("callers").address("listen"),
        sections.get("ready").address("listen"),
        sections.get("ready").optionalText("path").orElse("/ready"),
        peer.address("address"),
        peer.text("secret"),
        seeds(peer),
        sections.get("store").address("address"),
        (int) sections.get("metrics").number("port", 0, HIGHEST_PORT, 0),
        bounds(sections.get("bounds")),
        zoneTraffic(sections.get("zone-traffic")));
  }

  private static Map<String, String> zones(EntrySection section) {
    Map<String, String> regions = new HashMap<>();
    for (ConfigurationEntry entry : section.entries("")) {
      regions.put(entry.key(), entry.value());
    }
    return regions;
  }

  private static List<String> seeds(EntrySection section) {
    List<String> seeds = new ArrayList<>();
    for (String seed : section.optionalText("seeds").orElse("").split(" *, *")) {
      if (!seed.isEmpty()) {
        section.checkAddress(section.placeOf("seeds"), seed);
        seeds.add(seed);
      }
    }
    return seeds;
  }

  private static ForwardSettings.Bounds bounds(EntrySection section) {
    return new ForwardSettings.Bounds(
        section.quantity("stop", Unit.DURATION, 1_000, 3_600_000, 8_000),
        section.quantity("lease", Unit.DURATION, 100, 600_000, 3_000),
        section.decimal("retry-ratio", 0, 1, 0.1),
        section.decimal("retry-extra", 0, 1_000_000, 10),
        section.quantity("retry-window", Unit.DURATION, 1_000, 600_000, 10_000),
        quota(section));
  }

  private static AllowanceBounds quota(EntrySection section) {
    AllowanceBounds defaults = AllowanceBounds.DEFAULT;
    // A platform that does not know the field renders its line with the unit alone.
    boolean stated =
        section.optionalText("quota-window").filter(text -> !text.equals("s")).isPresent();
    return new AllowanceBounds(
        stated
            ? section.quantity(
                "quota-window", Unit.DURATION, 1_000, 600_000, defaults.windowMillis())
            : defaults.windowMillis(),
        section.decimal("quota-over", 0, 10, defaults.over()),
        section.decimal("quota-slack", 0, 1_000_000_000, defaults.slack()));
  }

  private static Optional<ZoneTrafficSettings> zoneTraffic(EntrySection section) {
    ZoneTrafficSettings settings =
        new ZoneTrafficSettings(
            section.decimal("zone-price", 0, 1_000_000, 0),
            section.decimal("region-price", 0, 1_000_000, 0),
            section.decimal("region-bandwidth", 0, 1_000_000, 0),
            section.decimal(
                "region-bandwidth-share", 0, 1, ZoneTrafficSettings.DEFAULT_BANDWIDTH_SHARE));
    boolean stated =
        ZONE_TRAFFIC_KEYS.stream().anyMatch(key -> section.optionalText(key).isPresent());
    return stated ? Optional.of(settings) : Optional.empty();
  }
}
