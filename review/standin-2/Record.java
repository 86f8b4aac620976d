import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run, a line each, with the time since the start. */
final class Record {

  /** The exit code of a case whose rule was broken; Java itself ends with 1 after an exception. */
  static final int BROKEN = 10;

  private final PrintWriter out;
  private final long startedAtNanos = System.nanoTime();

  Record(Path file) {
    try {
      out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
    } catch (IOException exception) {
      throw new UncheckedIOException(exception);
    }
  }

  synchronized void line(String text) {
    out.println(String.format(Locale.ROOT, "%8.3f  %s", seconds(), text));
    out.flush();
  }

  double seconds() {
    return (System.nanoTime() - startedAtNanos) / 1e9;
  }
}
