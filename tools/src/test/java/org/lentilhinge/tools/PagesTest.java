package org.lentilhinge.tools;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.lang.reflect.Field;
import java.lang.reflect.Modifier;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.lentilhinge.runtime.metric.MetricNames;
import org.testng.annotations.Test;

/** Checks that the commands, metrics, files and tests named in the documentation exist. */
public class PagesTest {

  private static final Path ROOT = Path.of("..");
  private static final List<String> COMMANDS =
      List.of("serve", "check", "diff", "check-published", "status", "trial", "emulate", "replay");
  private static final Pattern COMMAND_ROW = Pattern.compile("(?m)^\\| `([a-z-]+)[ `]");
  private static final Pattern METRIC =
      Pattern.compile("`((?:gateway|engine|service|configuration)\\.[a-z.]+)`");
  private static final Pattern LINK = Pattern.compile("\\]\\(([^)#]+)\\)");

  @Test
  public void namesAllCommandsInTheReadme() throws IOException {
    Set<String> named = matches(COMMAND_ROW, page("README.md"));
    assertEquals(named, new TreeSet<>(COMMANDS));
  }

  @Test
  public void namesMetricsThatExist() throws Exception {
    Set<String> named = matches(METRIC, page("docs/OPERATIONS.md"));
    Set<String> existing = metrics();
    assertTrue(!named.isEmpty() && existing.containsAll(named), named + " against " + existing);
  }

  @Test
  public void linksToFilesThatExist() throws IOException {
    for (String name :
        List.of(
            "README.md",
            "CONTRIBUTING.md",
            "docs/DESIGN.md",
            "docs/MEASUREMENTS.md",
            "docs/GUARANTEES.md",
            "docs/OPERATIONS.md")) {
      Path folder = ROOT.resolve(name).getParent();
      for (String link : matches(LINK, page(name))) {
        assertTrue(Files.exists(folder.resolve(link)), name + " links to " + link);
      }
    }
  }

  @Test
  public void namesTestsThatExistInTheGuarantees() throws IOException {
    Set<String> named =
        matches(Pattern.compile("`([A-Z][A-Za-z]+Test)`"), page("docs/GUARANTEES.md"));
    Set<String> existing = new TreeSet<>();
    for (String module : List.of("core", "runtime", "platform", "emulator", "tools")) {
      try (var files = Files.walk(ROOT.resolve(module).resolve("src/test/java"))) {
        files
            .map(file -> file.getFileName().toString())
            .filter(file -> file.endsWith("Test.java"))
            .forEach(file -> existing.add(file.substring(0, file.length() - ".java".length())));
      }
    }
    named.removeAll(existing);
    assertEquals(named, Set.of());
  }

  private static Set<String> metrics() throws IllegalAccessException {
    Set<String> metrics = new TreeSet<>();
    for (Field field : MetricNames.class.getFields()) {
      if (Modifier.isStatic(field.getModifiers())) {
        metrics.add((String) field.get(null));
      }
    }
    return metrics;
  }

  private static Set<String> matches(Pattern pattern, String text) {
    Set<String> found = new TreeSet<>();
    Matcher matcher = pattern.matcher(text);
    while (matcher.find()) {
      found.add(matcher.group(1));
    }
    return found;
  }

  private static String page(String name) throws IOException {
    return Files.readString(ROOT.resolve(name));
  }
}
