package org.lentilhinge.runtime.ini;

import java.io.Reader;

/**
 * Reads a text and counts its lines. Each read returns characters of at most one line, so that a
 * consumer that buffers its input is never ahead of the line count.
 */
final class LineReader extends Reader {

  private final String text;
  private int position;
  private int line;

  LineReader(String text) {
    this.text = text;
  }

  /** Returns the number of the line read last, starting at 1. */
  int line() {
    return line;
  }

  /** Indicates whether the line read last begins like a section header. */
  boolean isAtHeader() {
    int start = text.lastIndexOf('\n', position - 2) + 1;
    return text.substring(start, position).stripLeading().startsWith("[");
  }

  boolean isAtEnd() {
    return position >= text.length();
  }

  @Override
  public int read(char[] buffer, int offset, int length) {
    if (isAtEnd()) {
      return -1;
    }
    if (position == 0 || text.charAt(position - 1) == '\n') {
      line++;
    }
    int lineFeed = text.indexOf('\n', position);
    int end = lineFeed < 0 ? text.length() : lineFeed + 1;
    int count = Math.min(length, end - position);
    text.getChars(position, position + count, buffer, offset);
    position += count;
    return count;
  }

  @Override
  public void close() {
    position = text.length();
  }
}
