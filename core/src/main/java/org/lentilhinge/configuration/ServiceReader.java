package org.lentilhinge.configuration;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.lentilhinge.finding.Place;
import org.lentilhinge.identity.CallerId;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.ServiceId;
import org.lentilhinge.identity.ZoneId;

/** Reads the section {@code [service NAME]}, which declares a plain service. */
final class ServiceReader implements SectionReader {

  private static final String INSTANCE_PREFIX = "instance.";
  private static final Pattern CALL =
      Pattern.compile("(GET|HEAD|POST|PUT|PATCH|DELETE) (/\\S*) (repeatable|once)");

  @Override
  public void read(EntrySection section, ConfigurationDraft draft) {
    Optional<ServiceId> id = section.parseName(section.place(), section.label(), ServiceId::new);
    Optional<ZoneId> homeZone =
        zone(section, section.placeOf("home-zone"), section.text("home-zone"), draft);
    Deduplication deduplication =
        section.choice("deduplication", Deduplication.class, Deduplication.NONE);
    List<ServiceInstance> instances = instances(section, draft);
    List<ServiceCall> calls = calls(section);
    Set<CallerId> callers = callers(section, draft);
    if (section.isValid()) {
      draft
          .services()
          .put(
              id.get(),
              new Service(id.get(), homeZone.get(), instances, calls, callers, deduplication));
    }
  }

  private static Optional<ZoneId> zone(
      EntrySection section, Place at, String value, ConfigurationDraft draft) {
    return value.isEmpty()
        ? Optional.empty()
        : draft.resolveReference(section, at, "zone", value, ZoneId::new, draft.zones().keySet());
  }

  private static List<ServiceInstance> instances(EntrySection section, ConfigurationDraft draft) {
    List<ServiceInstance> instances = new ArrayList<>();
    List<ConfigurationEntry> entries = section.entries(INSTANCE_PREFIX);
    if (entries.isEmpty()) {
      section.error(section.place(), "the service has no instance (instance.NAME = ZONE, ADDRESS)");
    }
    for (ConfigurationEntry entry : entries) {
      instance(entry, section, draft).ifPresent(instances::add);
    }
    return instances;
  }

  private static Optional<ServiceInstance> instance(
      ConfigurationEntry entry, EntrySection section, ConfigurationDraft draft) {
    String[] words = entry.value().split(" *, *");
    if (words.length != 2 || !EntrySection.isAddress(words[1])) {
      section.error(entry.place(), "'" + entry.value() + "' is not ZONE, ADDRESS");
      return Optional.empty();
    }
    String name = entry.key().substring(INSTANCE_PREFIX.length());
    Optional<EndpointId> id = section.parseName(entry.place(), name, EndpointId::new);
    Optional<ZoneId> zone = zone(section, entry.place(), words[0], draft);
    draft.recordUnique(section, entry.place(), "endpoint", name);
    draft.recordUnique(section, entry.place(), "address", words[1]);
    return id.flatMap(
        endpoint -> zone.map(zoneId -> new ServiceInstance(endpoint, zoneId, words[1])));
  }

  private static List<ServiceCall> calls(EntrySection section) {
    List<ServiceCall> calls = new ArrayList<>();
    for (String word : words(section, "calls")) {
      Matcher matcher = CALL.matcher(word);
      if (matcher.matches()) {
        boolean repeatable = matcher.group(3).equals("repeatable");
        calls.add(new ServiceCall(matcher.group(1), matcher.group(2), repeatable));
      } else {
        section.error(
            section.placeOf("calls"), "'" + word + "' is not METHOD /PATH repeatable|once");
      }
    }
    return calls;
  }

  private static Set<CallerId> callers(EntrySection section, ConfigurationDraft draft) {
    Set<CallerId> callers = new LinkedHashSet<>();
    Place at = section.placeOf("callers");
    for (String word : words(section, "callers")) {
      draft
          .resolveReference(section, at, "caller", word, CallerId::new, draft.callers().keySet())
          .ifPresent(callers::add);
    }
    return callers;
  }

  private static List<String> words(EntrySection section, String key) {
    return section.optionalText(key).map(value -> List.of(value.split(" *, *"))).orElse(List.of());
  }
}
