package org.lentilhinge.runtime.settings;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.lentilhinge.finding.Finding;
import org.lentilhinge.finding.Findings;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.identity.ZoneId;
import org.lentilhinge.membership.ListedHost;
import org.lentilhinge.runtime.ini.IniReader;
import org.testng.annotations.Test;

/** Tests that settings are either read completely or rejected with all findings. */
public class SettingsReaderTest {

  private static final Path SAMPLE = Path.of("../conf/settings.ini");
  private static final Pattern LINE = Pattern.compile("(?m)^(?:\\[(.+)]|(?:# )?([a-z-]+) = .*)$");
  private static final String MINIMAL =
      "[host]\nname = a\nzone = z\nregion = r\n[peer]\nsecret = 0123456789abcdef\n"
          + "[platform]\nconfiguration-service = 127.0.0.1:1\n";

  private final SettingsReader reader = new SettingsReader(new IniReader());

  @Test
  public void reportsAllFindingsTogether() {
    String faulty =
        MINIMAL.replace("name = a", "name = a b").replace("127.0.0.1:1", "localhost:1")
            + "[stop]\ndrain = 30\n[log]\nform = xml\ncolour = red\n";
    Either<Findings, Settings> result = reader.read("s.ini", faulty);
    assertEquals(
        result.getLeft().list().stream().map(Finding::toString).toList(),
        List.of(
            "s.ini:2 [host] name: error: host name is malformed: 'a b'",
            "s.ini:8 [platform] configuration-service: error: 'localhost:1' is not an IP number"
                + " and port such as 10.0.1.10:8000",
            "s.ini:10 [stop] drain: error: '30' is not 0 ms to 60 min (units: ms, s, min)",
            "s.ini:12 [log] form: error: 'xml' is none of: text, json",
            "s.ini:13 [log] colour: error: key 'colour' is unknown here"));
  }

  @Test
  public void requiresSecretOrCertificates() {
    String withoutSecret = MINIMAL.replace("secret = 0123456789abcdef", "tls-key = k");
    assertEquals(
        reader.read("s.ini", withoutSecret).getLeft().list().stream()
            .map(Finding::message)
            .toList(),
        List.of(
            "tls-certificate, tls-key and tls-authority belong together",
            "neither 'secret' nor the three tls keys are given"));
  }

  @Test
  public void rejectsUnknownSectionsAndPortsOutOfRange() {
    String faulty = MINIMAL + "[gatway]\nlisten = 0.0.0.0:1\n[gateway]\nlisten = 0.0.0.0:65536\n";
    assertEquals(reader.read("s.ini", faulty).getLeft().list().size(), 2);
  }

  @Test
  public void readsTheSample() throws IOException {
    Either<Findings, Settings> result = reader.read("settings.ini", Files.readString(SAMPLE));
    assertTrue(result.isRight(), String.valueOf(result));
    assertEquals(
        result.get().seeds().get(0),
        new ListedHost(
            new HostId("entry-sofia-1b"), new ZoneId("sofia-1"), "10.0.1.6:7400", false));
  }

  @Test
  public void sampleNamesExactlyTheKnownKeys() throws IOException {
    Set<String> sampleKeys = new TreeSet<>();
    Matcher matcher = LINE.matcher(Files.readString(SAMPLE));
    String section = "";
    while (matcher.find()) {
      section = matcher.group(1) != null ? matcher.group(1) : section;
      if (matcher.group(2) != null && !section.equals("peers")) {
        sampleKeys.add(section + '.' + matcher.group(2));
      }
    }
    assertEquals(sampleKeys, reader.knownKeys());
  }

  @Test
  public void sampleShowsTheDefaults() throws IOException {
    String sample = Files.readString(SAMPLE);
    String uncommented = sample.replaceAll("(?m)^# (?!tls-)([a-z-]+ = )", "$1");
    Settings explicitDefaults = reader.read("settings.ini", uncommented).get();
    Settings omittedDefaults = reader.read("settings.ini", sample).get();
    assertEquals(explicitDefaults, omittedDefaults);
    assertEquals(explicitDefaults.seeds().size(), 2);
  }
}
