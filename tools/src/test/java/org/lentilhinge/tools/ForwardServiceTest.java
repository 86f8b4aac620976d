package org.lentilhinge.tools;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that a running host of the forwarding path follows its settings file, and that it serves
 * while its metrics port is in use.
 */
public class ForwardServiceTest {

  private static final long TIMEOUT_SECONDS = 30;
  private static final String STALE_SEED = "127.0.0.7:1";
  private static final String LIVE_SEED = "127.0.0.8:1";

  private final List<AwaitingStream> streams = new CopyOnWriteArrayList<>();
  private Path file;

  /** Passes the output of the host on to all that await a text. */
  private final class Broadcast extends OutputStream {
    @Override
    public void write(int character) {
      streams.forEach(stream -> stream.write(character));
    }
  }

  /** Completes once a text appears in what is written to it. */
  private static final class AwaitingStream extends OutputStream {
    private final StringBuilder text = new StringBuilder();
    private final String awaited;
    private final CompletableFuture<Void> found = new CompletableFuture<>();

    AwaitingStream(String awaited) {
      this.awaited = awaited;
    }

    @Override
    public synchronized void write(int character) {
      text.append((char) character);
      if (character == '\n' && text.indexOf(awaited) >= 0) {
        found.complete(null);
      }
    }
  }

  /** Creates an empty settings file. */
  @BeforeMethod
  public void createFile() throws IOException {
    streams.clear();
    file = Files.createTempFile("settings", ".ini");
  }

  /** Removes the settings file. */
  @AfterMethod(alwaysRun = true)
  public void removeFile() throws IOException {
    Files.delete(file);
  }

  private static String freeAddress() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      return "127.0.0.1:" + socket.getLocalPort();
    }
  }

  private static String settings(String peerAddress) throws IOException {
    return String.join(
        "\n",
        "[host]",
        "name = 127.0.0.1",
        "zone = a",
        "region = north",
        "[zones]",
        "a = north",
        "[callers]",
        "listen = " + freeAddress(),
        "[ready]",
        "listen = " + freeAddress(),
        "[peer]",
        "address = " + peerAddress,
        "secret = a-secret-for-this-test",
        "seeds = " + STALE_SEED,
        "[store]",
        "address = 127.0.0.1:1",
        "");
  }

  /** A way in which the settings file is replaced by another text. */
  private interface Replacement {
    void replace(Path file, String text) throws IOException, InterruptedException;
  }

  private static void writeInPlace(Path file, String text) throws IOException {
    Files.writeString(file, text);
  }

  private static void moveOver(Path file, String text) throws IOException {
    Path sibling = Files.writeString(file.resolveSibling(file.getFileName() + ".new"), text);
    Files.move(sibling, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
  }

  /** Returns a replacement that waits for a line of the log after a first change of the file. */
  private Replacement after(Replacement firstChange, String event) {
    return (path, text) -> {
      AwaitingStream awaited = await(event);
      firstChange.replace(path, text);
      get(awaited.found);
      writeInPlace(path, text);
    };
  }

  @DataProvider
  public Object[][] replacements() {
    Replacement inPlace = ForwardServiceTest::writeInPlace;
    Replacement moved = ForwardServiceTest::moveOver;
    Replacement removed = after((path, text) -> Files.delete(path), "event=settings-unreadable");
    Replacement halfWritten =
        after(
            (path, text) -> writeInPlace(path, text.substring(0, text.length() / 2)),
            "event=settings-rejected");
    Replacement faulty =
        after(
            (path, text) -> writeInPlace(path, text.replace(LIVE_SEED, "no-address")),
            "event=settings-rejected");
    return new Object[][] {
      {"written in place", inPlace},
      {"moved over the former one", moved},
      {"removed for some time", removed},
      {"half written for some time", halfWritten},
      {"faulty for some time", faulty},
    };
  }

  // Guards against a host that keeps stale seeds as it waits for a signal (review/7).
  @Test(dataProvider = "replacements")
  public void usesChangedSeedsWithoutSignal(String name, Replacement replacement) throws Exception {
    AwaitingStream started = await("event=start");
    AwaitingStream reloaded =
        await("event=reload seeds=" + LIVE_SEED + " applied=peer.seeds atNextStart=none");
    String text = settings(freeAddress());
    StopSignal signal = StopSignal.onRequest();
    CompletableFuture<Integer> exitCode = run(text, signal);
    get(started.found);
    replacement.replace(file, text.replace(STALE_SEED, LIVE_SEED));
    get(reloaded.found);
    signal.request();
    assertEquals((int) get(exitCode), ExitCode.DONE, "exit code");
  }

  // Guards against a host that ends because another process uses its metrics port (review/7 beside
  // another host at the same address).
  @Test
  public void servesWhileMetricsPortIsInUse() throws Exception {
    AwaitingStream started = await("event=start");
    AwaitingStream unavailable = await("event=metrics-unavailable");
    AwaitingStream available = await("event=metrics-available");
    StopSignal signal = StopSignal.onRequest();
    CompletableFuture<Integer> exitCode;
    try (ServerSocket other = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      String metrics = "[metrics]\nport = " + other.getLocalPort() + '\n';
      exitCode = run(settings(freeAddress()) + metrics, signal);
      get(unavailable.found);
      get(started.found);
    }
    get(available.found);
    signal.request();
    assertEquals((int) get(exitCode), ExitCode.DONE, "exit code");
  }

  private CompletableFuture<Integer> run(String text, StopSignal signal) throws IOException {
    Files.writeString(file, text);
    PrintStream output = new PrintStream(new Broadcast(), true, StandardCharsets.UTF_8);
    ForwardService service = new ForwardService(new Console(output, output), signal);
    return CompletableFuture.supplyAsync(() -> service.run(file.toString(), text));
  }

  private AwaitingStream await(String text) {
    AwaitingStream stream = new AwaitingStream(text);
    streams.add(stream);
    return stream;
  }

  private static <T> T get(CompletableFuture<T> future) throws InterruptedException {
    try {
      return future.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    } catch (ExecutionException | TimeoutException exception) {
      throw new AssertionError(exception);
    }
  }
}
