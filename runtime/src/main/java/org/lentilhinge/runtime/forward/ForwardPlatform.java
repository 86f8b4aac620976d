package org.lentilhinge.runtime.forward;

/** Gives a host the words and calls of the platform that it runs on. */
public interface ForwardPlatform {

  /**
   * Gets the translation of headers.
   *
   * @return the dialect
   */
  ForwardDialect dialect();

  /**
   * Makes a reader of the published store.
   *
   * @param caller makes the calls
   * @param address the store's IP number and port
   * @return the reader
   */
  PublishedStore store(HttpCaller caller, String address);

  /**
   * Makes a control of engines.
   *
   * @param caller makes the calls
   * @return the control
   */
  EngineControl control(HttpCaller caller);
}
