package org.lentilhinge.configuration;

/** Reads sections of one kind into a draft. */
interface SectionReader {

  /**
   * Reads a section. Sections of the kinds that it refers to must have been read before.
   *
   * @param section the section
   * @param draft the draft to which the declarations are added
   */
  void read(EntrySection section, ConfigurationDraft draft);
}
