package org.lentilhinge.configuration;

import java.util.Optional;
import org.lentilhinge.identity.BaseModelId;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.ZoneId;

/** Reads the section {@code [engine NAME]}, which declares a model engine. */
final class EngineReader implements SectionReader {

  private static final int MAXIMUM_SLOTS = 4_096;

  @Override
  public void read(EntrySection section, ConfigurationDraft draft) {
    Optional<EndpointId> id = section.parseName(section.place(), section.label(), EndpointId::new);
    Optional<ZoneId> zone =
        draft.resolveReference(
            section,
            section.placeOf("zone"),
            "zone",
            section.text("zone"),
            ZoneId::new,
            draft.zones().keySet());
    Optional<BaseModelId> model = section.name("base-model", BaseModelId::new);
    String address = section.address("address");
    int adapterSlots = (int) section.number("adapter-slots", 1, MAXIMUM_SLOTS);
    int batchSlots = (int) section.number("batch-slots", 1, MAXIMUM_SLOTS);
    FencingSupport fencing =
        section.choice("fencing", FencingSupport.class, FencingSupport.IGNORED);
    model.ifPresent(draft.servedModels()::add);
    draft.recordUnique(section, section.place(), "endpoint", section.label());
    draft.recordUnique(section, section.placeOf("address"), "address", address);
    if (section.isValid()) {
      draft
          .engines()
          .put(
              id.get(),
              new Engine(
                  id.get(), zone.get(), address, model.get(), adapterSlots, batchSlots, fencing));
    }
  }
}
