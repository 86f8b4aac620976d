package org.lentilhinge.runtime.engine;

/** The completion interface that a request uses. */
public enum CompletionKind {
  /** Chat completion: the response is the next message of the assistant. */
  CHAT("/v1/chat/completions", "chatcmpl-", "chat.completion"),
  /** Text completion: the response continues the text of the prompt. */
  TEXT("/v1/completions", "cmpl-", "text_completion");

  private final String path;
  private final String idPrefix;
  private final String objectName;

  CompletionKind(String path, String idPrefix, String objectName) {
    this.path = path;
    this.idPrefix = idPrefix;
    this.objectName = objectName;
  }

  /**
   * Returns the HTTP path.
   *
   * @return the path
   */
  public String path() {
    return path;
  }

  /**
   * Returns the prefix of response ids.
   *
   * @return the prefix
   */
  public String idPrefix() {
    return idPrefix;
  }

  /**
   * Returns the value of the member {@code object} in a complete response.
   *
   * @return the object name
   */
  public String objectName() {
    return objectName;
  }
}
