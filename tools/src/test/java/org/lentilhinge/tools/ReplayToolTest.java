package org.lentilhinge.tools;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.testng.annotations.Test;

/** Tests the replay subcommand. */
public class ReplayToolTest {

  private final ByteArrayOutputStream output = new ByteArrayOutputStream();
  private final ByteArrayOutputStream errors = new ByteArrayOutputStream();

  @Test
  public void printsRowForEachPolicyAndTheRatio() {
    assertEquals(run("--user", "regulalux", "--case", "steady", "--seconds", "5"), 0);
    String table = output.toString(StandardCharsets.UTF_8);
    for (String expected : new String[] {"baseline", "hashing", "lentilhinge", "to baseline"}) {
      assertTrue(table.contains(expected), expected + " in " + table);
    }
  }

  @Test
  public void rejectsUnknownCaseWithOneMessage() {
    assertEquals(run("--case", "sunny"), 2);
    assertEquals(
        errors.toString(StandardCharsets.UTF_8).strip(),
        "lentilhinge replay: unknown case 'sunny'");
  }

  @Test
  public void rejectsNonNumericRate() {
    assertEquals(run("--rate", "many"), 2);
  }

  private int run(String... arguments) {
    output.reset();
    errors.reset();
    PrintStream out = new PrintStream(output, true, StandardCharsets.UTF_8);
    PrintStream err = new PrintStream(errors, true, StandardCharsets.UTF_8);
    return new ReplayTool(out, err).run(arguments);
  }
}
