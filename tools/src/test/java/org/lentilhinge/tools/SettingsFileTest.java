package org.lentilhinge.tools;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.lentilhinge.runtime.forward.EventLog;
import org.lentilhinge.runtime.forward.ForwardSettings;
import org.lentilhinge.runtime.forward.ForwardSettingsReader;
import org.lentilhinge.runtime.ini.IniReader;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which texts of the settings file a running host uses. */
public class SettingsFileTest {

  private static final String STALE_SEEDS = "10.0.0.1:81,10.0.0.2:81";
  private static final String LIVE_SEEDS = "10.0.0.4:81,10.0.0.5:81";

  private final ByteArrayOutputStream output = new ByteArrayOutputStream();
  private SettingsFile settingsFile;

  /** Creates a file with the seeds that are in force. */
  @BeforeMethod
  public void createFile() {
    output.reset();
    settingsFile =
        new SettingsFile(
            "settings.ini",
            settings(STALE_SEEDS),
            new ForwardSettingsReader(new IniReader()),
            new EventLog(new PrintStream(output, true, StandardCharsets.UTF_8), () -> 0));
  }

  private static String settings(String seeds) {
    return String.join(
        "\n",
        "[host]",
        "name = 10.0.0.9",
        "zone = a",
        "region = north",
        "[zones]",
        "a = north",
        "[callers]",
        "listen = 10.0.0.9:80",
        "[ready]",
        "listen = 10.0.0.9:82",
        "[peer]",
        "address = 10.0.0.9:81",
        "secret = a-secret-for-this-test",
        "seeds = " + seeds,
        "[store]",
        "address = 10.0.0.8:80",
        "");
  }

  private static List<String> seeds(Optional<ForwardSettings> settings) {
    return settings.orElseThrow().seeds();
  }

  /** Guards against a host that keeps stale seeds as it waits for a signal (review/7). */
  @Test
  public void changeWithoutSignalIsUsedOnceTwoReadsAgree() {
    assertEquals(settingsFile.onRead(settings(STALE_SEEDS)), Optional.empty());
    assertEquals(settingsFile.onRead(settings(LIVE_SEEDS)), Optional.empty());
    assertEquals(
        seeds(settingsFile.onRead(settings(LIVE_SEEDS))), List.of("10.0.0.4:81", "10.0.0.5:81"));
    assertEquals(settingsFile.onRead(settings(LIVE_SEEDS)), Optional.empty());
  }

  /** Guards against the use of a file that was read while it was being written. */
  @Test
  public void textThatIsStillWrittenIsNotUsed() {
    String whole = settings(LIVE_SEEDS);
    for (int length = 0; length < whole.length(); length += 7) {
      assertEquals(settingsFile.onRead(whole.substring(0, length)), Optional.empty());
    }
    assertEquals(settingsFile.onRead(whole), Optional.empty());
    assertTrue(settingsFile.onRead(whole).isPresent());
  }

  @Test
  public void faultyTextIsRejectedAndTheNextOneIsUsed() {
    String faulty = settings("no-address");
    assertEquals(settingsFile.onRead(faulty), Optional.empty());
    assertEquals(settingsFile.onRead(faulty), Optional.empty());
    assertEquals(settingsFile.onRead(faulty), Optional.empty());
    assertEquals(settingsFile.onSignal(""), Optional.empty());
    settingsFile.onRead(settings(LIVE_SEEDS));
    assertTrue(settingsFile.onRead(settings(LIVE_SEEDS)).isPresent());
  }

  @Test
  public void fileThatIsGoneForSomeTimeChangesNothing() {
    settingsFile.onFailure(new IOException("gone"));
    settingsFile.onFailure(new IOException("gone"));
    assertEquals(settingsFile.onRead(settings(STALE_SEEDS)), Optional.empty());
  }

  @Test
  public void textAfterSignalIsUsedAtOnce() {
    assertTrue(settingsFile.onSignal(settings(LIVE_SEEDS)).isPresent());
    assertEquals(settingsFile.onRead(settings(LIVE_SEEDS)), Optional.empty());
  }
}
