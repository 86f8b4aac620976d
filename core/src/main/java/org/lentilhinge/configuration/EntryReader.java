package org.lentilhinge.configuration;

/** Splits a text into sections and entries. */
public interface EntryReader {

  /**
   * Reads a complete text.
   *
   * @param file the file's name, which findings show
   * @param text the text
   * @return the entries of the text, and the findings about its syntax
   */
  ParsedText read(String file, String text);
}
