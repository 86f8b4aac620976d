package org.lentilhinge.runtime.ini;

import java.io.IOException;
import java.io.UncheckedIOException;
import org.ini4j.Config;
import org.ini4j.InvalidFileFormatException;
import org.ini4j.spi.IniParser;
import org.lentilhinge.configuration.EntryReader;
import org.lentilhinge.configuration.ParsedText;

/**
 * Parses INI texts with ini4j. Values are read verbatim: a backslash is not an escape character,
 * and a colon in a value is not an operator. A comment is a separate line that begins with {@code
 * #} or {@code ;}.
 */
public final class IniReader implements EntryReader {

  private static final String RESUMED_SECTION = "\u0000";

  private final Config config = new Config();

  /** Creates a reader. */
  public IniReader() {
    config.setEscape(false);
    config.setEscapeNewline(false);
    config.setInclude(false);
    config.setEmptyOption(true);
    // Allows the parser to resume within a section after a malformed line.
    config.setGlobalSection(true);
    config.setGlobalSectionName(RESUMED_SECTION);
  }

  @Override
  public ParsedText read(String file, String text) {
    LineReader reader = new LineReader(text);
    EntryHandler handler = new EntryHandler(file, reader, RESUMED_SECTION);
    IniParser parser = IniParser.newInstance(config);
    while (!reader.isAtEnd()) {
      parseUntilMalformedLine(parser, reader, handler);
    }
    return handler.text();
  }

  private static void parseUntilMalformedLine(
      IniParser parser, LineReader reader, EntryHandler handler) {
    try {
      parser.parse(reader, handler);
    } catch (InvalidFileFormatException exception) {
      handler.reportMalformedLine();
    } catch (IOException exception) {
      throw new UncheckedIOException(exception);
    }
  }
}
