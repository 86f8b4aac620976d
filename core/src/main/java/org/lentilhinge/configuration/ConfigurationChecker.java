package org.lentilhinge.configuration;

import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.lentilhinge.finding.FindingCollector;
import org.lentilhinge.finding.Findings;
import org.lentilhinge.finding.Place;
import org.lentilhinge.identity.CallerId;
import org.lentilhinge.identity.ConfigurationVersion;
import org.lentilhinge.identity.RegionId;

/**
 * Checks the entries of a complete configuration and builds the configuration. All findings are
 * collected in one pass. A single error causes the rejection of the complete configuration.
 */
public final class ConfigurationChecker {

  /** The kind of the section that refers to the parts of a configuration. It declares nothing. */
  public static final String PARTS = "parts";

  private static final String CONFIGURATION = "configuration";

  private final Map<String, SectionReader> readers = new LinkedHashMap<>();

  /** Creates a checker. */
  public ConfigurationChecker() {
    // Sections are read in this order: each kind comes after the kinds that it refers to.
    readers.put(CONFIGURATION, ConfigurationChecker::readVersion);
    readers.put("zone", new ZoneReader());
    readers.put("store", ConfigurationChecker::readStore);
    readers.put("policy", ConfigurationChecker::readPolicy);
    readers.put("engine", new EngineReader());
    readers.put("adapters", new AdapterReader());
    readers.put("caller", new CallerReader());
    readers.put("rules", new RuleReader());
    readers.put("service", new ServiceReader());
  }

  /**
   * Checks the entries of a text.
   *
   * @param text the entries, and the findings about the text's syntax
   * @return the result, which includes both the syntax findings and those of the check
   */
  public ConfigurationCheckResult check(ParsedText text) {
    FindingCollector collector = new FindingCollector();
    collector.addAll(text.findings());
    text.emptySections().forEach(place -> collector.error(place, "the section has no entries"));
    ConfigurationDraft draft = new ConfigurationDraft(collector);
    List<EntrySection> sections = EntrySection.group(text.entries(), collector);
    readers.forEach((kind, reader) -> readAll(sections, kind, reader, draft));
    reportUnknownSections(sections);
    Place file =
        sections.isEmpty() ? Place.ofFile("") : Place.ofFile(sections.get(0).place().file());
    reportMissingDeclarations(draft, file);
    reportUnusedCallers(sections, draft);
    return result(collector.findings(), draft);
  }

  private static ConfigurationCheckResult result(Findings findings, ConfigurationDraft draft) {
    Optional<Configuration> configuration =
        findings.hasErrors() ? Optional.empty() : Optional.of(draft.build());
    return new ConfigurationCheckResult(findings, configuration);
  }

  private static void readAll(
      List<EntrySection> sections, String kind, SectionReader reader, ConfigurationDraft draft) {
    for (EntrySection section : sections) {
      if (section.kind().equals(kind)) {
        reader.read(section, draft);
        section.reportUnknownKeys();
      }
    }
  }

  private void reportUnknownSections(List<EntrySection> sections) {
    for (EntrySection section : sections) {
      if (!section.kind().equals(PARTS) && !readers.containsKey(section.kind())) {
        section.error(section.place(), "section kind '" + section.kind() + "' is unknown");
      }
    }
  }

  private static void readVersion(EntrySection section, ConfigurationDraft draft) {
    draft.setVersion(new ConfigurationVersion(section.number("version", 1, Long.MAX_VALUE)));
  }

  private static void readStore(EntrySection section, ConfigurationDraft draft) {
    double rate = section.decimal("loads-per-second", 0.01, 10_000, 2.5);
    int concurrency = (int) section.number("loads-in-flight", 1, 10_000, 8);
    Optional<RegionId> region =
        section
            .optionalText("region")
            .flatMap(name -> section.parseName(section.place(), name, RegionId::new));
    draft.setStore(rate, concurrency, region);
  }

  private static void readPolicy(EntrySection section, ConfigurationDraft draft) {
    double stallWeight = section.decimal("stall-weight", 0, 1_000, 1);
    double batchWeight = section.decimal("batch-weight", 0, 1_000, 1);
    long queueMillis = section.quantity("maximum-queue", Unit.DURATION, 1, 600_000, 2_000);
    long requestMillis =
        section.quantity("maximum-request", Unit.DURATION, 1_000, 3_600_000, 120_000);
    if (stallWeight + batchWeight == 0) {
      section.error(section.place(), "stall-weight and batch-weight are both 0");
    }
    draft.setPolicy(new Policy(stallWeight, batchWeight, queueMillis, requestMillis));
  }

  private static void reportMissingDeclarations(ConfigurationDraft draft, Place file) {
    FindingCollector collector = draft.collector();
    if (draft.version().equals(ConfigurationVersion.NONE)) {
      collector.error(file, "[configuration] version is missing");
    }
    if (draft.zones().isEmpty()) {
      collector.error(file, "no zone is declared");
    }
    if (!draft.zones().isEmpty() && sum(draft.zoneShares().values()) == 0) {
      collector.error(file, "the store-share of every zone is 0");
    }
  }

  private static long sum(Collection<Integer> shares) {
    return shares.stream().mapToLong(Integer::longValue).sum();
  }

  private static void reportUnusedCallers(List<EntrySection> sections, ConfigurationDraft draft) {
    Set<CallerId> permitted = new HashSet<>();
    draft.rules().forEach(rule -> permitted.add(rule.caller()));
    draft.services().values().forEach(service -> permitted.addAll(service.callers()));
    Set<String> names = permitted.stream().map(CallerId::value).collect(Collectors.toSet());
    for (EntrySection section : sections) {
      if (section.kind().equals("caller") && !names.contains(section.label())) {
        section.warning(section.place(), "the caller has no rule and reaches no service");
      }
    }
  }
}
