package org.lentilhinge.tools;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the emulate subcommand without entry hosts. */
public class EmulateToolTest {

  private static final long TIMEOUT_SECONDS = 30;
  private static final long POLL_INTERVAL_MILLIS = 20;

  private final ByteArrayOutputStream output = new ByteArrayOutputStream();
  private final StopSignal signal = StopSignal.onRequest();
  private Path folder;
  private Tool emulate;

  /** Creates a folder for the configuration. */
  @BeforeMethod
  public void create() throws IOException {
    output.reset();
    folder = Files.createTempDirectory("emulate");
    PrintStream stream = new PrintStream(output, true, StandardCharsets.UTF_8);
    emulate = new EmulateTool(new Console(stream, stream), signal);
  }

  /** Removes the folder. */
  @AfterMethod(alwaysRun = true)
  public void remove() throws IOException {
    Files.deleteIfExists(folder.resolve("configuration.ini"));
    Files.delete(folder);
  }

  @Test
  public void rejectsMalformedHost() {
    assertEquals(emulate.run("--host", "entry-1,sofia-1"), ExitCode.MISUSE);
    assertTrue(text().contains("--host is not NAME,ZONE,IP:PORT"), text());
  }

  @Test
  public void publishesTheFileWhenItChanges() throws Exception {
    Path file = folder.resolve("configuration.ini");
    CompletableFuture<Integer> code =
        CompletableFuture.supplyAsync(
            () ->
                emulate.run(
                    "--host", "entry-1,sofia-1,127.0.0.1:1", "--configuration", file.toString()));
    await("host-list = ");
    Files.writeString(file, Files.readString(file).replace("version = 1\n", "version = 2\n"));
    await("published ");
    signal.request();
    assertEquals(code.get(TIMEOUT_SECONDS, TimeUnit.SECONDS), Integer.valueOf(ExitCode.DONE));
  }

  private void await(String expected) {
    long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
    while (!text().contains(expected)) {
      assertTrue(
          System.nanoTime() < endNanos, "output does not contain: " + expected + "\n" + text());
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(POLL_INTERVAL_MILLIS));
    }
  }

  private String text() {
    return output.toString(StandardCharsets.UTF_8);
  }
}
