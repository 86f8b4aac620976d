package org.lentilhinge.tools;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the exit codes and messages of the serve subcommand if the host cannot start. */
public class ServeToolTest {

  private final ByteArrayOutputStream errors = new ByteArrayOutputStream();
  private Path folder;

  /** Creates a folder for the settings. */
  @BeforeMethod
  public void createFolder() throws IOException {
    errors.reset();
    folder = Files.createTempDirectory("serve");
  }

  /** Removes the folder. */
  @AfterMethod(alwaysRun = true)
  public void removeFolder() throws IOException {
    Files.deleteIfExists(folder.resolve("settings.ini"));
    Files.delete(folder);
  }

  @Test
  public void reportsPortInUse() throws IOException {
    try (ServerSocket occupied = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      int code = serve("127.0.0.1:" + occupied.getLocalPort());
      assertEquals(code, ExitCode.UNAVAILABLE, errors.toString(StandardCharsets.UTF_8));
      assertTrue(errors.toString(StandardCharsets.UTF_8).contains("lentilhinge serve: "));
    }
  }

  @Test
  public void rejectsMalformedAddress() throws IOException {
    assertEquals(serve("localhost"), ExitCode.REJECTED);
    assertTrue(errors.toString(StandardCharsets.UTF_8).contains("listen"));
  }

  private int serve(String listen) throws IOException {
    String settings =
        String.join(
            "\n",
            "[host]",
            "name = entry-1",
            "zone = zone-1",
            "region = region-1",
            "[gateway]",
            "listen = " + listen,
            "[peer]",
            "listen = 127.0.0.1:0",
            "address = 127.0.0.1:7400",
            "secret = a-secret-for-this-test",
            "[platform]",
            "configuration-service = 127.0.0.1:1");
    Path file = Files.writeString(folder.resolve("settings.ini"), settings);
    PrintStream stream = new PrintStream(errors, true, StandardCharsets.UTF_8);
    Tool serve = new ServeTool(new Console(stream, stream), StopSignal.onRequest());
    return serve.run("--settings", file.toString());
  }
}
