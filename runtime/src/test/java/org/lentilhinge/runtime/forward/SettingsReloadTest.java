package org.lentilhinge.runtime.forward;

import static org.testng.Assert.assertEquals;

import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.lentilhinge.runtime.ini.IniReader;
import org.testng.annotations.Test;

/** Tests what a running host states about changed settings. */
public class SettingsReloadTest {

  private static final long TIMEOUT_SECONDS = 30;

  private final BlockingQueue<String> lines = new LinkedBlockingQueue<>();
  private final List<List<String>> seeds = new ArrayList<>();

  private final PrintStream output =
      new PrintStream(OutputStream.nullOutputStream(), true, StandardCharsets.UTF_8) {
        @Override
        public void print(Object text) {
          lines.add(text.toString());
        }
      };

  private static ForwardSettings settings(String seeds, String storeAddress, String secret) {
    String text =
        String.join(
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
            "secret = " + secret,
            "seeds = " + seeds,
            "[store]",
            "address = " + storeAddress,
            "");
    return new ForwardSettingsReader(new IniReader()).read("settings.ini", text).get();
  }

  private String takeLine() throws InterruptedException {
    return String.valueOf(lines.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS))
        .trim()
        .replaceFirst("t=[0-9]+ ", "");
  }

  /** Guards against changed settings that are silently ignored until the next start. */
  @Test
  public void statesWhichSettingsAreAppliedAndWhichAreNot() throws InterruptedException {
    ForwardSettings atStart = settings("10.0.0.1:81", "10.0.0.8:80", "a-first-secret");
    SettingsReload reload = new SettingsReload(atStart, new EventLog(output, () -> 0), seeds::add);
    reload.apply(settings("10.0.0.2:81", "10.0.0.8:80", "a-first-secret"));
    assertEquals(takeLine(), "event=reload seeds=10.0.0.2:81 applied=peer.seeds atNextStart=none");
    reload.apply(settings("10.0.0.2:81", "10.0.0.7:80", "a-second-secret"));
    assertEquals(
        takeLine(),
        "event=reload seeds=10.0.0.2:81 applied=none atNextStart=peer.secret,store.address");
    reload.apply(atStart);
    assertEquals(takeLine(), "event=reload seeds=10.0.0.1:81 applied=peer.seeds atNextStart=none");
    assertEquals(
        seeds, List.of(List.of("10.0.0.2:81"), List.of("10.0.0.2:81"), List.of("10.0.0.1:81")));
  }
}
