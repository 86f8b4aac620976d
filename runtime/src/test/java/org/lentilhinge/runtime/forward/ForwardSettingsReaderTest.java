package org.lentilhinge.runtime.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.lentilhinge.allowance.AllowanceBounds;
import org.lentilhinge.finding.Findings;
import org.lentilhinge.runtime.ini.IniReader;
import org.lentilhinge.zone.ZoneTrafficSettings;
import org.testng.annotations.Test;

/** Tests the reader of the settings of the forwarding path. */
public class ForwardSettingsReaderTest {

  private static final String VALID =
      """
      [host]
      name = 10.1.0.38
      zone = a
      region = north
      [zones]
      a = north
      b = south
      [callers]
      listen = 10.1.0.38:8149
      [ready]
      listen = 10.1.0.38:8141
      path = /ready
      [peer]
      address = 10.1.0.38:8144
      secret = shared
      seeds = 10.1.0.38:8144,10.2.0.40:8144
      [store]
      address = 10.200.1.7:8142
      [bounds]
      stop = 8 s
      lease = 3000 ms
      retry-ratio = 0.2
      retry-extra = 56
      retry-window = 10 s
      """;

  private final ForwardSettingsReader reader = new ForwardSettingsReader(new IniReader());

  @Test
  public void readsAllSettings() {
    ForwardSettings settings = reader.read("s.ini", VALID).get();
    assertEquals(settings.seeds(), List.of("10.1.0.38:8144", "10.2.0.40:8144"));
    assertEquals(settings.zoneRegions().get("b"), "south");
    assertEquals(settings.bounds(), new ForwardSettings.Bounds(8_000, 3_000, 0.2, 56, 10_000));
    assertEquals(settings.metricsPort(), 0);
  }

  @Test
  public void acceptsFractionsInAllBounds() {
    String fractions =
        VALID
            .replace("stop = 8 s", "stop = 8.25 s")
            .replace("lease = 3000 ms", "lease = 2999.6 ms")
            .replace("retry-extra = 56", "retry-extra = 37.096774193548384")
            .replace("retry-window = 10 s", "retry-window = 10.5 s");
    ForwardSettings settings = reader.read("s.ini", fractions).get();
    assertEquals(
        settings.bounds(),
        new ForwardSettings.Bounds(8_250, 3_000, 0.2, 37.096774193548384, 10_500));
  }

  // A platform that does not know the fields renders them as nothing.
  @Test
  public void readsQuotaBoundsAndUsesDefaultsForEmptyOnes() {
    String stated = VALID + "quota-window = 4.0 s\nquota-over = 0.5\nquota-slack = 17000\n";
    String empty = VALID + "quota-window =  s\nquota-over = \nquota-slack = \n";
    assertEquals(
        reader.read("s.ini", stated).get().bounds().quota(),
        new AllowanceBounds(4_000, 0.5, 17_000));
    assertEquals(
        reader.read("s.ini", empty).get().bounds().quota(), new AllowanceBounds(8_000, 0.25, 0));
  }

  @Test
  public void readsTheSample() throws IOException {
    String sample = Files.readString(Path.of("../conf/forwarding.ini"));
    ForwardSettings settings = reader.read("s.ini", sample).get();
    String uncommented = sample.replaceAll("(?m)^# ([a-z-]+ = )", "$1");
    ForwardSettings stated = reader.read("s.ini", uncommented).get();
    assertEquals(
        stated,
        new ForwardSettings(
            settings.host(),
            settings.zone(),
            settings.region(),
            settings.zoneRegions(),
            settings.callerAddress(),
            settings.readyAddress(),
            settings.readyPath(),
            settings.peerAddress(),
            settings.peerSecret(),
            settings.seeds(),
            settings.storeAddress(),
            settings.metricsPort(),
            settings.bounds(),
            // Any key of the section enables the feature.
            Optional.of(new ZoneTrafficSettings(0, 0, 0, 0.5))));
  }

  @Test
  public void reportsAllFindings() {
    String invalid =
        VALID.replace("10.200.1.7:8142", "the-store").replace("secret = shared\n", "")
            + "[extra]\nkey = 1\n";
    Findings findings = reader.read("s.ini", invalid).getLeft();
    String text = findings.toString();
    assertTrue(text.contains("store"), text);
    assertTrue(text.contains("secret"), text);
    assertTrue(text.contains("extra"), text);
  }

  @Test
  public void zoneTrafficIsPlannedOnlyIfItsSectionHasKeys() {
    assertTrue(reader.read("s.ini", VALID).get().zoneTraffic().isEmpty());
    assertTrue(reader.read("s.ini", VALID + "[zone-traffic]\n").get().zoneTraffic().isEmpty());
    String stated = VALID + "[zone-traffic]\nregion-bandwidth = 42\nzone-price = 500\n";
    assertEquals(
        reader.read("s.ini", stated).get().zoneTraffic(),
        Optional.of(new ZoneTrafficSettings(500, 0, 42, 0.5)));
    String wrong = VALID + "[zone-traffic]\nregion-bandwidth-share = 2\nprice = 1\n";
    String findings = reader.read("s.ini", wrong).getLeft().toString();
    assertTrue(findings.contains("region-bandwidth-share"), findings);
    assertTrue(findings.contains("'price' is unknown"), findings);
  }

  @Test
  public void sampleShowsTheDefaults() throws IOException {
    ForwardSettings settings =
        reader.read("s.ini", Files.readString(Path.of("../conf/forwarding.ini"))).get();
    assertTrue(settings.zoneTraffic().isEmpty());
    assertEquals(settings.bounds(), new ForwardSettings.Bounds(8_000, 3_000, 0.1, 10, 10_000));
  }

  @Test
  public void distinguishesSettingsOfBothInterfaces() {
    assertTrue(ForwardSettingsReader.isForwarding(VALID));
    assertFalse(ForwardSettingsReader.isForwarding("[host]\nname = entry-1\n[gateway]\n"));
  }
}
