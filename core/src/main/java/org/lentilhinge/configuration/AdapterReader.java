package org.lentilhinge.configuration;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.lentilhinge.identity.AdapterId;
import org.lentilhinge.identity.BaseModelId;

/** Reads the section {@code [adapters BASE-MODEL]}, which declares one adapter per line. */
final class AdapterReader implements SectionReader {

  private static final Pattern DECLARATION = Pattern.compile("([1-9]\\d{0,8}), *(.+)");
  private static final long MAXIMUM_BYTES = 100_000_000_000L;

  @Override
  public void read(EntrySection section, ConfigurationDraft draft) {
    Optional<BaseModelId> model =
        section.parseName(section.place(), section.label(), BaseModelId::new);
    if (model.isPresent() && !draft.servedModels().contains(model.get())) {
      section.error(
          section.place(), "base model '" + section.label() + "' is not run by any engine");
    }
    for (ConfigurationEntry entry : section.entries("")) {
      readLine(entry, section, model.orElse(new BaseModelId("undeclared")), draft);
    }
  }

  private static void readLine(
      ConfigurationEntry entry, EntrySection section, BaseModelId model, ConfigurationDraft draft) {
    Optional<AdapterId> id = section.parseName(entry.place(), entry.key(), AdapterId::new);
    Matcher matcher = DECLARATION.matcher(entry.value());
    if (!matcher.matches()) {
      section.error(
          entry.place(),
          "'" + entry.value() + "' is not VERSION, SIZE with a version from 1, such as 3, 48 MB");
    }
    id.ifPresent(name -> declare(name, matcher, entry, section, model, draft));
  }

  private static void declare(
      AdapterId id,
      Matcher matcher,
      ConfigurationEntry entry,
      EntrySection section,
      BaseModelId model,
      ConfigurationDraft draft) {
    int version = matcher.matches() ? Integer.parseInt(matcher.group(1)) : 1;
    long size = matcher.matches() ? size(matcher.group(2), entry, section) : 1;
    Adapter previous = draft.adapters().putIfAbsent(id, new Adapter(id, model, version, size));
    if (previous != null) {
      section.error(
          entry.place(), "adapter '" + id + "' is already declared for " + previous.baseModel());
    }
  }

  private static long size(String text, ConfigurationEntry entry, EntrySection section) {
    Optional<Long> size = Unit.SIZE.parse(text);
    if (size.isEmpty() || size.get() < 1 || size.get() > MAXIMUM_BYTES) {
      section.error(
          entry.place(),
          "'" + text + "' is not a size from 1 B to 100000 MB (units: " + Unit.SIZE.names() + ")");
      return 1;
    }
    return size.get();
  }
}
