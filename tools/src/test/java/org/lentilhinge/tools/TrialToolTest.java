package org.lentilhinge.tools;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.testng.annotations.Test;

/** Tests the trial subcommand, which streams one response and repeats one booking. */
public class TrialToolTest {

  @Test(timeOut = 120_000)
  public void answersOnTheRoutedAdapterAndBooksOnce() {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    PrintStream stream = new PrintStream(bytes, true, StandardCharsets.UTF_8);
    Tool trial = new TrialTool(new Console(stream, stream), StopSignal.onRequest());
    int exitCode = trial.run();
    String output = bytes.toString(StandardCharsets.UTF_8);
    assertEquals(exitCode, ExitCode.DONE, output);
    assertTrue(output.contains("Answer: [drains-sofia@3]"), output);
    assertTrue(output.contains("decision=route"), output);
    assertTrue(output.contains("The service ran it 1 time(s)."), output);
    assertTrue(output.contains("0 requests on a wrong or evicted adapter"), output);
  }
}
