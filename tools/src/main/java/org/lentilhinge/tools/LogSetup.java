package org.lentilhinge.tools;

import io.vertx.core.json.JsonObject;
import java.time.Instant;
import java.util.Arrays;
import java.util.logging.ConsoleHandler;
import java.util.logging.Formatter;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.lentilhinge.runtime.settings.LogFormat;
import org.lentilhinge.runtime.settings.LogLevel;
import org.lentilhinge.runtime.settings.LogSettings;

/** Configures the log that Flogger writes to: one line per event on the standard error stream. */
final class LogSetup {

  private LogSetup() {}

  static void apply(LogSettings settings) {
    Logger root = Logger.getLogger("");
    Arrays.stream(root.getHandlers()).forEach(root::removeHandler);
    ConsoleHandler handler = new ConsoleHandler();
    handler.setLevel(Level.ALL);
    handler.setFormatter(new LineFormatter(settings.format()));
    root.addHandler(handler);
    root.setLevel(level(settings.level()));
  }

  private static Level level(LogLevel level) {
    return switch (level) {
      case ERROR -> Level.SEVERE;
      case WARNING -> Level.WARNING;
      case INFO -> Level.INFO;
      case DEBUG -> Level.FINE;
    };
  }

  private static final class LineFormatter extends Formatter {

    private final LogFormat format;

    LineFormatter(LogFormat format) {
      this.format = format;
    }

    @Override
    public String format(LogRecord event) {
      return (format == LogFormat.JSON ? json(event) : text(event)) + "\n";
    }

    private String text(LogRecord event) {
      return Instant.ofEpochMilli(event.getMillis())
          + " "
          + event.getLevel()
          + " "
          + formatMessage(event)
          + cause(event);
    }

    private String json(LogRecord event) {
      String message = formatMessage(event);
      JsonObject line =
          new JsonObject()
              .put("time", Instant.ofEpochMilli(event.getMillis()).toString())
              .put("level", event.getLevel().getName());
      // A decision is already a JSON object.
      if (message.startsWith("{")) {
        line.put("decision", new JsonObject(message));
      } else {
        line.put("message", message + cause(event));
      }
      return line.encode();
    }

    private static String cause(LogRecord event) {
      return event.getThrown() == null ? "" : " cause=" + event.getThrown();
    }
  }
}
