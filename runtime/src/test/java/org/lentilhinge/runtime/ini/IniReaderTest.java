package org.lentilhinge.runtime.ini;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.lentilhinge.configuration.Configuration;
import org.lentilhinge.configuration.ConfigurationCheckResult;
import org.lentilhinge.configuration.ConfigurationChecker;
import org.lentilhinge.configuration.ConfigurationEntry;
import org.lentilhinge.configuration.ParsedText;
import org.lentilhinge.finding.Finding;
import org.lentilhinge.finding.Place;
import org.testng.annotations.Test;

/** Tests the places of entries, verbatim values and the findings on malformed texts. */
public class IniReaderTest {

  private final IniReader reader = new IniReader();

  @Test
  public void recordsLineOfEachEntry() {
    ParsedText text = reader.read("file.ini", "# note\n[zone a]\n\n; note\nregion = r\nshare=1\n");
    assertEquals(
        text.entries(),
        List.of(
            new ConfigurationEntry(
                "zone a", "region", "r", new Place("file.ini", "zone a", "region", 5)),
            new ConfigurationEntry(
                "zone a", "share", "1", new Place("file.ini", "zone a", "share", 6))));
  }

  @Test
  public void countsLinesLongerThanTheBuffer() {
    String longValue = "x".repeat(20_000);
    ParsedText text = reader.read("file.ini", "[a]\nfirst = " + longValue + "\nsecond = 2");
    assertEquals(text.entries().get(0).value(), longValue);
    assertEquals(text.entries().get(0).place().line(), 2);
    assertEquals(text.entries().get(1).place().line(), 3);
  }

  @Test
  public void readsValuesVerbatim() {
    ParsedText text =
        reader.read("file.ini", "[a]\naddress = 10.0.0.1:80\npath = C:\\new \\\nlist = x, y=z ; w");
    assertEquals(
        text.entries().stream().map(ConfigurationEntry::value).toList(),
        List.of("10.0.0.1:80", "C:\\new \\", "x, y=z ; w"));
  }

  @Test
  public void continuesAfterEachMalformedLine() {
    ParsedText text =
        reader.read(
            "file.ini", "early = 1\n[a]\n= 2\nkey\nkey = 3\n[b\nlost = 4\n[c]\n[a]\nkey = 5\n[]");
    assertEquals(
        text.findings().list().stream().map(Finding::toString).toList(),
        List.of(
            "file.ini:1 early: error: the entry precedes the first section",
            "file.ini:3 [a]: error: the line is not a section header, entry or comment",
            "file.ini:4 [a] key: error: '=' is missing after the key",
            "file.ini:6 [a]: error: the line is not a section header, entry or comment",
            "file.ini:9 [a]: error: duplicate section, already defined at line 2",
            "file.ini:11 [a]: error: the line is not a section header, entry or comment"));
    assertEquals(
        text.entries().stream().map(ConfigurationEntry::value).toList(), List.of("3", "5"));
    assertEquals(text.emptySections(), List.of(Place.ofSection("file.ini", "c", 8)));
  }

  @Test
  public void readsTheSampleConfiguration() throws IOException {
    String file = "../conf/configuration.ini";
    ParsedText text = reader.read(file, Files.readString(Path.of(file)));
    ConfigurationCheckResult result = new ConfigurationChecker().check(text);
    assertEquals(result.findings().toString(), "");
    Configuration configuration = result.configuration().orElseThrow();
    assertEquals(configuration.engines().size(), 3);
    assertEquals(configuration.rules().size(), 5);
    assertTrue(configuration.services().values().iterator().next().isRepeatable("GET", "/any"));
  }
}
