package org.lentilhinge.runtime.settings;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.lentilhinge.configuration.ConfigurationEntry;
import org.lentilhinge.configuration.EntryReader;
import org.lentilhinge.configuration.EntrySection;
import org.lentilhinge.configuration.ParsedText;
import org.lentilhinge.configuration.Unit;
import org.lentilhinge.finding.FindingCollector;
import org.lentilhinge.finding.Findings;
import org.lentilhinge.finding.Place;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.identity.RegionId;
import org.lentilhinge.identity.ZoneId;
import org.lentilhinge.membership.ListedHost;

/**
 * Reads and validates settings. All findings are reported in one pass, and a single error rejects
 * the file.
 */
public final class SettingsReader {

  private static final String PEERS = "peers";
  private static final List<String> SECTIONS =
      List.of("host", "gateway", "peer", PEERS, "platform", "limits", "stop", "log");
  private static final String UNKNOWN_SECTION = "section is unknown";
  private static final int MINIMUM_SECRET_LENGTH = 16;

  private final EntryReader entryReader;

  /**
   * Creates a reader.
   *
   * @param entryReader parses a text into entries
   */
  public SettingsReader(EntryReader entryReader) {
    this.entryReader = entryReader;
  }

  /**
   * Reads settings.
   *
   * @param file the name of the file, for the places of findings
   * @param text the content of the file
   * @return the settings, or the findings if the file is rejected
   */
  public Either<Findings, Settings> read(String file, String text) {
    ParsedText parsedText = entryReader.read(file, text);
    FindingCollector collector = new FindingCollector();
    collector.addAll(parsedText.findings());
    parsedText.emptySections().stream()
        .filter(place -> !SECTIONS.contains(place.section()))
        .forEach(place -> collector.error(place, UNKNOWN_SECTION));
    Map<String, EntrySection> sections = sections(file, parsedText.entries(), collector);
    Optional<Settings> settings = settings(sections);
    sections.values().forEach(EntrySection::reportUnknownKeys);
    Findings findings = collector.findings();
    return findings.hasErrors() || settings.isEmpty()
        ? Either.left(findings)
        : Either.right(settings.get());
  }

  /**
   * Returns all valid keys of settings, except the keys of the section {@code peers}.
   *
   * @return the keys as {@code section.key}
   */
  public Set<String> knownKeys() {
    Map<String, EntrySection> sections = sections("", List.of(), new FindingCollector());
    settings(sections);
    Set<String> keys = new TreeSet<>();
    sections.forEach(
        (name, section) -> section.readKeys().forEach(key -> keys.add(name + '.' + key)));
    return keys;
  }

  private static Map<String, EntrySection> sections(
      String file, List<ConfigurationEntry> entries, FindingCollector collector) {
    Map<String, EntrySection> sections = new LinkedHashMap<>();
    for (EntrySection section : EntrySection.group(entries, collector)) {
      String name = section.name();
      if (SECTIONS.contains(name)) {
        sections.put(name, section);
      } else {
        section.error(section.place(), UNKNOWN_SECTION);
      }
    }
    for (String name : SECTIONS) {
      Place place = Place.ofSection(file, name, 0);
      sections.computeIfAbsent(
          name, unused -> new EntrySection(name, place, new ArrayList<>(), collector));
    }
    return sections;
  }

  private static Optional<Settings> settings(Map<String, EntrySection> sections) {
    Optional<HostSettings> host = host(sections.get("host"));
    GatewaySettings gateway =
        new GatewaySettings(sections.get("gateway").address("listen", "0.0.0.0:8080"));
    PeerSettings peer = peer(sections.get("peer"));
    List<ListedHost> seeds = seeds(sections.get(PEERS));
    PlatformSettings platform = platform(sections.get("platform"));
    LimitSettings limits = limits(sections.get("limits"));
    StopSettings stop =
        new StopSettings(
            sections.get("stop").quantity("drain", Unit.DURATION, 0, 3_600_000, 30_000));
    LogSettings log = log(sections.get("log"));
    return host.map(
        hostSettings ->
            new Settings(hostSettings, gateway, peer, seeds, platform, limits, stop, log));
  }

  private static Optional<HostSettings> host(EntrySection section) {
    Optional<HostId> name = section.name("name", HostId::new);
    Optional<ZoneId> zone = section.name("zone", ZoneId::new);
    Optional<RegionId> region = section.name("region", RegionId::new);
    return section.isValid()
        ? Optional.of(new HostSettings(name.get(), zone.get(), region.get()))
        : Optional.empty();
  }

  private static PeerSettings peer(EntrySection section) {
    String listen = section.address("listen", "0.0.0.0:7400");
    String address = section.address("address", listen);
    Optional<String> secret = section.optionalText("secret");
    Optional<TlsSettings> tls = tls(section);
    if (secret.isPresent() && secret.get().length() < MINIMUM_SECRET_LENGTH) {
      section.error(
          section.placeOf("secret"),
          "the secret is shorter than " + MINIMUM_SECRET_LENGTH + " characters");
    }
    if (secret.isEmpty() && tls.isEmpty()) {
      section.error(section.place(), "neither 'secret' nor the three tls keys are given");
    }
    return new PeerSettings(listen, address, secret, tls);
  }

  private static Optional<TlsSettings> tls(EntrySection section) {
    Optional<String> certificate = section.optionalText("tls-certificate");
    Optional<String> key = section.optionalText("tls-key");
    Optional<String> authority = section.optionalText("tls-authority");
    if (certificate.isPresent() && key.isPresent() && authority.isPresent()) {
      return Optional.of(new TlsSettings(certificate.get(), key.get(), authority.get()));
    }
    if (certificate.isPresent() || key.isPresent() || authority.isPresent()) {
      section.error(section.place(), "tls-certificate, tls-key and tls-authority belong together");
    }
    return Optional.empty();
  }

  private static List<ListedHost> seeds(EntrySection section) {
    List<ListedHost> seeds = new ArrayList<>();
    for (ConfigurationEntry entry : section.entries("")) {
      seed(entry, section).ifPresent(seeds::add);
    }
    return seeds;
  }

  private static Optional<ListedHost> seed(ConfigurationEntry entry, EntrySection section) {
    String[] parts = entry.value().split(" *, *");
    if (parts.length != 2 || !EntrySection.isAddress(parts[1])) {
      section.error(entry.place(), "'" + entry.value() + "' is not ZONE, ADDRESS");
      return Optional.empty();
    }
    Optional<HostId> name = section.parseName(entry.place(), entry.key(), HostId::new);
    Optional<ZoneId> zone = section.parseName(entry.place(), parts[0], ZoneId::new);
    return name.flatMap(
        hostId -> zone.map(zoneId -> new ListedHost(hostId, zoneId, parts[1], false)));
  }

  private static PlatformSettings platform(EntrySection section) {
    String service = section.address("configuration-service");
    String key = section.optionalText("configuration-key").orElse("configuration");
    Optional<String> hostList = section.optionalText("host-list");
    hostList.ifPresent(address -> section.checkAddress(section.placeOf("host-list"), address));
    String weightPath = section.optionalText("weight-path").orElse("/adapters/{adapter}/{version}");
    return new PlatformSettings(service, key, hostList, weightPath);
  }

  private static LimitSettings limits(EntrySection section) {
    int headers = (int) section.quantity("headers", Unit.SIZE, 1_000, 1_000_000, 16_000);
    int body = (int) section.quantity("body", Unit.SIZE, 1_000, 100_000_000, 1_000_000);
    int requests = (int) section.number("concurrent-requests", 1, 1_000_000, 2_000);
    long idle = section.quantity("idle", Unit.DURATION, 1_000, 3_600_000, 60_000);
    int frame = (int) section.quantity("frame", Unit.SIZE, 64_000, 16_000_000, 2_000_000);
    return new LimitSettings(headers, body, requests, idle, frame);
  }

  private static LogSettings log(EntrySection section) {
    LogFormat format = section.choice("form", LogFormat.class, LogFormat.TEXT);
    LogLevel level = section.choice("level", LogLevel.class, LogLevel.INFO);
    return new LogSettings(format, level);
  }
}
