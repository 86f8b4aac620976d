package org.lentilhinge.tools;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.approvaltests.Approvals;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the exit codes and the output of the subcommands. */
public class LentilhingeTest {

  private static final String FILES = "src/test/resources/org/lentilhinge/tools/";

  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();
  private final Lentilhinge program = new Lentilhinge(new Console(stream(out), stream(err)));

  private static PrintStream stream(ByteArrayOutputStream bytes) {
    return new PrintStream(bytes, true, StandardCharsets.UTF_8);
  }

  @BeforeMethod
  public void clear() {
    out.reset();
    err.reset();
  }

  @Test
  public void listsAllFindingsOfFaultyConfiguration() {
    assertEquals(program.run("check", FILES + "faulty.ini"), ExitCode.REJECTED);
    Approvals.verify(output());
  }

  @Test
  public void writesFindingsAsJson() {
    assertEquals(program.run("check", "--form", "json", FILES + "faulty.ini"), ExitCode.REJECTED);
    Approvals.verify(output());
  }

  @Test
  public void listsWhatChanges() {
    assertEquals(program.run("diff", FILES + "former.ini", FILES + "next.ini"), ExitCode.DONE);
    Approvals.verify(output());
  }

  @Test
  public void rejectsDiffWithFaultyConfiguration() {
    assertEquals(
        program.run("diff", FILES + "former.ini", FILES + "faulty.ini"), ExitCode.REJECTED);
    assertTrue(errors().contains("faulty.ini is refused"), errors());
  }

  @Test
  public void acceptsBothSamples() {
    assertEquals(program.run("check", "../conf/configuration.ini"), ExitCode.DONE, output());
    assertEquals(program.run("check", "../conf/settings.ini"), ExitCode.DONE, output());
  }

  @Test
  public void findsPartsBesideTheFile() throws IOException {
    Path directory = Files.createTempDirectory("lentilhinge");
    Path file = directory.resolve("configuration.ini");
    Files.writeString(file, "[configuration]\nversion = 1\n[parts]\nzones = " + "0".repeat(32));
    assertEquals(program.run("check", file.toString()), ExitCode.REJECTED);
    assertTrue(output().contains("there is no part 000"), output());
  }

  @Test
  public void describesEachSubcommand() {
    for (Tool tool : program.tools()) {
      assertEquals(program.run(tool.name(), "--help"), ExitCode.DONE, tool.name());
      assertTrue(output().contains("lentilhinge " + tool.name()), output());
      assertEquals(errors(), "");
    }
  }

  @Test
  public void reportsMisuseWithOneMessage() {
    checkMisuse("no subcommand given");
    checkMisuse("there is no subcommand 'fly'", "fly");
    checkMisuse("expected FILE", "check");
    checkMisuse("expected OLD NEW", "diff", "one");
    checkMisuse("--form is neither", "check", "--form", "xml", FILES + "former.ini");
    checkMisuse("--settings is missing", "serve");
    checkMisuse("--address is missing", "status");
    checkMisuse("--port is not", "trial", "--serve", "--port", "x");
    checkMisuse("nrecognized option", "check", "--colour");
  }

  @Test
  public void reportsMissingFile() {
    assertEquals(program.run("check", "absent.ini"), ExitCode.UNAVAILABLE);
    assertEquals(errors(), "lentilhinge check: absent.ini: no such file\n");
  }

  @Test
  public void rejectsServeWithFaultySettings() {
    assertEquals(program.run("serve", "--settings", FILES + "former.ini"), ExitCode.REJECTED);
    assertTrue(errors().contains("is refused"), errors());
  }

  private void checkMisuse(String message, String... arguments) {
    clear();
    assertEquals(program.run(arguments), ExitCode.MISUSE, message);
    assertTrue(errors().contains(message), errors());
    assertEquals(errors().lines().count(), 1, errors());
    assertEquals(output(), "");
  }

  private String output() {
    return out.toString(StandardCharsets.UTF_8).replace(System.lineSeparator(), "\n");
  }

  private String errors() {
    return err.toString(StandardCharsets.UTF_8);
  }
}
