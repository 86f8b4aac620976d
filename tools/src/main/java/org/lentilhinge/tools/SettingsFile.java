package org.lentilhinge.tools;

import io.vavr.control.Either;
import java.util.Optional;
import org.lentilhinge.finding.Findings;
import org.lentilhinge.runtime.forward.EventLog;
import org.lentilhinge.runtime.forward.ForwardSettings;
import org.lentilhinge.runtime.forward.ForwardSettingsReader;

/**
 * Decides which texts of the settings file take effect while a host runs. The file may change with
 * or without a signal, may be absent for some time and may be read while it is being written. A
 * text that cannot be used is logged once, and the last one that could be used stays in force.
 */
final class SettingsFile {

  private final String file;
  private final ForwardSettingsReader reader;
  private final EventLog log;
  private String latestText;
  private Optional<String> changedText = Optional.empty();
  private boolean readable = true;

  /**
   * Creates a file that was read at the start.
   *
   * @param file the name of the file, which is shown in findings
   * @param text the text that is in force
   * @param reader reads the settings
   * @param log receives a line for each text that is not used
   */
  SettingsFile(String file, String text, ForwardSettingsReader reader, EventLog log) {
    this.file = file;
    this.latestText = text;
    this.reader = reader;
    this.log = log;
  }

  /**
   * Handles the text that was read at an interval. A change counts once two successive reads agree,
   * because the file may still be written.
   *
   * @param text the text of the file
   * @return the settings if they have changed and can be used
   */
  Optional<ForwardSettings> onRead(String text) {
    recordReadable();
    if (text.equals(latestText)) {
      changedText = Optional.empty();
      return Optional.empty();
    }
    if (!changedText.equals(Optional.of(text))) {
      changedText = Optional.of(text);
      return Optional.empty();
    }
    return use(text);
  }

  /**
   * Handles the text that was read after a signal, which states that the file has changed.
   *
   * @param text the text of the file
   * @return the settings if they can be used
   */
  Optional<ForwardSettings> onSignal(String text) {
    recordReadable();
    return use(text);
  }

  /**
   * Handles a read that failed.
   *
   * @param cause why it failed
   */
  void onFailure(Throwable cause) {
    if (readable) {
      log.line("settings-unreadable", "file", file, "why", cause);
    }
    readable = false;
  }

  private void recordReadable() {
    if (!readable) {
      log.line("settings-readable", "file", file);
    }
    readable = true;
  }

  private Optional<ForwardSettings> use(String text) {
    latestText = text;
    changedText = Optional.empty();
    Either<Findings, ForwardSettings> settings = reader.read(file, text);
    settings.peekLeft(findings -> log.line("settings-rejected", "findings", findings));
    return settings.toJavaOptional();
  }
}
