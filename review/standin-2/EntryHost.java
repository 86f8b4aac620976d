import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URL;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/** An entry host as a process, started with the command of the deploy file. */
final class EntryHost {

  private static final String SETTINGS_PLACE = "/etc/lentilhinge/settings.conf";

  final String ip;
  final String zone;
  private final Path folder;
  private final int frontPort;
  private final int readyPort;
  private final int controlPort;
  private final StoreStandIn store;
  private final Record record;
  private List<String> seeds;
  private Process process;
  private int starts;

  /** The ports are the same on all hosts. */
  record Ports(int front, int ready, int control) {

    static Ports free(String ip) throws IOException {
      try (ServerSocket front = new ServerSocket(0, 1, InetAddress.getByName(ip));
          ServerSocket ready = new ServerSocket(0, 1, InetAddress.getByName(ip));
          ServerSocket control = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
        return new Ports(front.getLocalPort(), ready.getLocalPort(), control.getLocalPort());
      }
    }
  }

  EntryHost(
      String ip,
      String zone,
      Ports ports,
      List<String> seedIps,
      StoreStandIn store,
      Path folder,
      Record record) {
    this.ip = ip;
    this.zone = zone;
    this.frontPort = ports.front();
    this.readyPort = ports.ready();
    this.controlPort = ports.control();
    this.store = store;
    this.folder = folder;
    this.record = record;
    setSeeds(seedIps);
    // No process outlives the case, also if it is stopped.
    Runtime.getRuntime().addShutdownHook(new Thread(this::end));
  }

  void setSeeds(List<String> ips) {
    seeds = ips.stream().map(seed -> seed + ":" + controlPort).toList();
  }

  String front() {
    return ip + ":" + frontPort;
  }

  private Path settings() {
    return folder.resolve("settings-" + ip + ".conf");
  }

  /** Renders the template of the deploy file, as the platform does at each start. */
  void render() throws IOException {
    String text = Files.readString(Path.of("deploy/settings.ini"));
    String zones =
        "sofia-a = sofia\nsofia-b = sofia\nplovdiv-a = plovdiv\n";
    text = text.replaceAll("(?s)\\{\\{#zones\\}\\}.*?\\{\\{/zones\\}\\}\n", zones);
    String[][] fields = {
      {"ip", ip},
      {"zone", zone},
      {"region", zone.substring(0, zone.indexOf('-'))},
      {"listen.front", front()},
      {"listen.ready", ip + ":" + readyPort},
      {"listen.control", ip + ":" + controlPort},
      {"seeds", String.join(",", seeds)},
      {"platform.address", store.address()},
      {"bounds.grace_s", "8"},
      {"bounds.lease_ms", "3000"},
      {"bounds.budget_ratio", "0.2"},
      {"bounds.budget_extra", "56"},
      {"bounds.budget_window_s", "10"},
    };
    for (String[] field : fields) {
      text = text.replace("{{" + field[0] + "}}", field[1]);
    }
    Files.writeString(settings(), text.replaceAll("\\{\\{[^}]*\\}\\}", ""));
  }

  void start() throws IOException {
    render();
    List<String> command =
        new ArrayList<>(
            List.of(
                Files.readAllLines(Path.of("deploy/system.toml")).stream()
                    .filter(line -> line.startsWith("run = "))
                    .map(line -> line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')))
                    .findFirst()
                    .orElseThrow()
                    .split(" ")));
    command.replaceAll(word -> word.equals(SETTINGS_PLACE) ? settings().toString() : word);
    starts++;
    process =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(folder.resolve("log-" + ip + "-" + starts + ".txt").toFile())
            .start();
    record.line("start    host " + ip + " life " + starts);
  }

  boolean isAlive() {
    return process.isAlive();
  }

  int exitCode() {
    return process.exitValue();
  }

  boolean awaitEnd(long millis) throws InterruptedException {
    return process.waitFor(millis, TimeUnit.MILLISECONDS);
  }

  /** Sends a signal to this process, by its id. */
  void signal(String name) throws IOException, InterruptedException {
    record.line("signal   " + name + " to host " + ip);
    new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid())).start().waitFor();
  }

  boolean isReady() {
    try {
      HttpURLConnection connection =
          (HttpURLConnection)
              new URL("http://" + ip + ":" + readyPort + "/api/ready").openConnection();
      connection.setConnectTimeout(500);
      connection.setReadTimeout(500);
      connection.setRequestProperty("Connection", "close");
      return connection.getResponseCode() == 200;
    } catch (IOException exception) {
      return false;
    }
  }

  boolean awaitReady(long millis) throws InterruptedException {
    long endNanos = System.nanoTime() + millis * 1_000_000;
    while (System.nanoTime() < endNanos) {
      if (isReady()) {
        return true;
      }
      Thread.sleep(100);
    }
    return false;
  }

  void end() {
    if (process != null) {
      process.destroyForcibly();
    }
  }

  /** Returns the lines of this life's log that contain a text. */
  List<String> logLines(String text) throws IOException {
    return Files.readAllLines(folder.resolve("log-" + ip + "-" + starts + ".txt")).stream()
        .filter(line -> line.contains(text))
        .collect(Collectors.toList());
  }
}
