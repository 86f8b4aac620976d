package org.lentilhinge.tools;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.vertx.core.json.JsonObject;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.approvaltests.Approvals;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the check of a published configuration over files. */
public class CheckPublishedToolTest {

  private static final String FILES = "src/test/resources/org/lentilhinge/tools/";
  private static final String FORMER = FILES + "published-former.json";
  private static final String FAULTY = FILES + "published-faulty.json";

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

  private String output() {
    return out.toString(StandardCharsets.UTF_8).replace(System.lineSeparator(), "\n");
  }

  // A path that names another entry sends the operator to the wrong place.
  @Test
  public void listsAllFindingsAndChangesWithTheirPaths() {
    assertEquals(
        program.run("check-published", "--against", FORMER, FAULTY), ExitCode.REJECTED, output());
    assertFalse(output().contains("secret"), output());
    Approvals.verify(output());
  }

  @Test
  public void acceptsConfigurationWithoutFindings() {
    assertEquals(program.run("check-published", FORMER), ExitCode.DONE, output());
    assertEquals(output(), FORMER + ": accepted, 0 errors, 0 warnings\n");
  }

  @Test
  public void writesFindingsAndChangesAsJson() {
    assertEquals(
        program.run("check-published", "--form", "json", "--against", FORMER, FORMER),
        ExitCode.REJECTED);
    JsonObject object = new JsonObject(output());
    assertEquals(object.getJsonArray("findings").getJsonObject(0).getString("key"), "version");
    assertTrue(object.getJsonArray("changes").isEmpty(), output());
  }

  // Changes against an unreadable file would all be additions.
  @Test
  public void rejectsUnreadableConfigurationInForce() {
    assertEquals(
        program.run("check-published", "--against", FILES + "former.ini", FORMER),
        ExitCode.REJECTED);
    assertTrue(err.toString(StandardCharsets.UTF_8).contains("former.ini cannot be read"));
  }
}
