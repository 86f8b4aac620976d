package org.lentilhinge.runtime.engine;

/**
 * The point at which an attempt resumes a response.
 *
 * @param offset the number of tokens already delivered to the caller
 * @param text the text of these tokens
 */
public record ResumePoint(int offset, String text) {

  /** The start of a response. */
  public static final ResumePoint START = new ResumePoint(0, "");
}
