package org.lentilhinge.configuration;

import java.util.Optional;
import org.lentilhinge.identity.RegionId;
import org.lentilhinge.identity.ZoneId;

/** Reads the section {@code [zone NAME]}, which declares an availability zone. */
final class ZoneReader implements SectionReader {

  private static final int MAXIMUM_SHARE = 1_000;

  @Override
  public void read(EntrySection section, ConfigurationDraft draft) {
    Optional<ZoneId> id = section.parseName(section.place(), section.label(), ZoneId::new);
    Optional<RegionId> region = section.name("region", RegionId::new);
    int share = (int) section.number("store-share", 0, MAXIMUM_SHARE, 1);
    if (id.isPresent()) {
      draft.zoneShares().put(id.get(), share);
      draft.zones().put(id.get(), new Zone(id.get(), region.orElse(new RegionId("undeclared"))));
    }
  }
}
