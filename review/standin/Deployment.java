import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A small deployment on loopback addresses: entry hosts as processes that run the command of the
 * deploy file, a stand-in of the platform's store, and proxies on the links between the hosts.
 *
 * <p>A host's name is the address at which other hosts reach it. Here that is the address of a
 * proxy, which passes the bytes on to the host or cuts it off from all other hosts.
 */
final class Deployment implements AutoCloseable {

  static final long STARTED_NANOS = System.nanoTime();
  private static final SecureRandom RANDOM = new SecureRandom();
  private static final int LOWEST_PORT = 12_000;
  private static final int PORTS = 18_000;
  private static final int FEW_HOSTS = 4;

  final Path folder;
  final Path root;
  final int hosts;
  final StoreServer store;
  final Map<String, Process> processes = new LinkedHashMap<>();
  final List<PeerProxy> proxies = new ArrayList<>();
  final int callerPort;
  final int readyPort;
  final int peerPort;
  private final PrintWriter record;
  private final boolean echo;
  private final Path temporary;
  private List<String> launcher = List.of();

  /**
   * Creates a deployment of up to four hosts without hosts, which repeats its record on standard output.
   *
   * @param folder the folder of the case, which receives record.txt
   * @param root the root of the repository
   */
  Deployment(Path folder, Path root) throws IOException {
    this(folder, root, FEW_HOSTS, true);
  }

  /**
   * Creates a deployment without hosts.
   *
   * @param folder the folder of the case, which receives record.txt
   * @param root the root of the repository
   * @param hosts the highest number of a host
   * @param echo whether the record is repeated on standard output
   */
  Deployment(Path folder, Path root, int hosts, boolean echo) throws IOException {
    this.folder = folder;
    this.root = root;
    this.hosts = hosts;
    this.echo = echo;
    record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")), true);
    temporary = Files.createTempDirectory("lentilhinge-review");
    callerPort = freePort(hosts);
    readyPort = freePort(hosts);
    peerPort = freePort(hosts);
    store = new StoreServer(this);
    Thread killer = new Thread(() -> processes.values().forEach(Process::destroyForcibly));
    Runtime.getRuntime().addShutdownHook(killer);
  }

  /**
   * Finds a port that is free on all loopback addresses that hosts may use, below the ports that the
   * system gives to connections.
   */
  private static int freePort(int hosts) throws IOException {
    for (int attempt = 0; attempt < 100; attempt++) {
      int port = LOWEST_PORT + RANDOM.nextInt(PORTS);
      try {
        for (int host = 1; host <= hosts; host++) {
          new ServerSocket(port, 1, InetAddress.getByName(ip(host))).close();
          new ServerSocket(port, 1, InetAddress.getByName(name(host))).close();
        }
        return port;
      } catch (IOException exception) {
        // Another process uses the port on one of the addresses.
      }
    }
    throw new IOException("no free port");
  }

  static long now() {
    return (System.nanoTime() - STARTED_NANOS) / 1_000_000;
  }

  /** Writes a line with the time since the start, in milliseconds. */
  void record(String text) {
    String line = String.format("%7d ms  %s", now(), text);
    synchronized (record) {
      record.println(line);
    }
    if (echo) {
      System.out.println(line);
    }
  }

  static String ip(int host) {
    return "127.0.1." + host;
  }

  static String name(int host) {
    return "127.0.2." + host;
  }

  static int numberOf(String name) {
    return Integer.parseInt(name.substring(name.lastIndexOf('.') + 1));
  }

  InetSocketAddress callerAddress(int host) {
    return new InetSocketAddress(ip(host), callerPort);
  }

  /** Sets the command, with its arguments, that starts the commands of the hosts. */
  void setLauncher(List<String> command) {
    launcher = List.copyOf(command);
  }

  /** Starts an entry host with the command of the deploy file. */
  void startHost(int host, String zone) throws IOException {
    if (proxies.stream().noneMatch(proxy -> proxy.host() == host)) {
      proxies.add(new PeerProxy(this, host, peerPort));
    }
    Path settings = temporary.resolve("host-" + host + ".ini");
    String text =
        "[host]\nname = " + name(host) + "\nzone = " + zone + "\nregion = region-1\n\n"
            + "[zones]\nzone-a = region-1\nzone-b = region-1\nzone-c = region-1\n\n"
            + "[callers]\nlisten = " + ip(host) + ":" + callerPort + "\n\n"
            + "[ready]\nlisten = " + ip(host) + ":" + readyPort + "\npath = /api/ready\n\n"
            + "[peer]\naddress = " + ip(host) + ":" + peerPort + "\n"
            + "secret = lentilhinge-entry-hosts\n"
            + "seeds = " + name(1) + ":" + peerPort + "," + name(2) + ":" + peerPort + "\n\n"
            + "[store]\naddress = " + store.address(host) + "\n\n"
            + "[bounds]\nstop = 8 s\nlease = 3000 ms\nretry-ratio = 0.2\nretry-extra = 56\n"
            + "retry-window = 10 s\n";
    Files.writeString(settings, text);
    List<String> command = new ArrayList<>(launcher);
    command.addAll(deployCommand());
    int last = command.size() - 1;
    command.set(last, settings.toString());
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.directory(root.toFile());
    builder.redirectErrorStream(true);
    builder.redirectOutput(
        ProcessBuilder.Redirect.appendTo(temporary.resolve("host-" + host + ".log").toFile()));
    processes.put("host-" + host, builder.start());
    record("host-" + host + " started (" + zone + ", name " + name(host) + ")");
  }

  /** Reads the command of the role in deploy/system.toml. */
  private List<String> deployCommand() throws IOException {
    for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
      if (line.startsWith("run = ")) {
        String words = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        return List.of(words.split(" "));
      }
    }
    throw new IOException("deploy/system.toml has no run command");
  }

  /** Waits until a host reports that it is ready. */
  boolean awaitReady(int host, long timeoutMillis) throws InterruptedException {
    long end = now() + timeoutMillis;
    while (now() < end) {
      try {
        HttpMessage response =
            Http.call(new InetSocketAddress(ip(host), readyPort), "GET", "/api/ready", Map.of(), "", 1_000);
        if (response.status() == 200) {
          return true;
        }
      } catch (IOException exception) {
        // The host does not listen yet.
      }
      Thread.sleep(50);
    }
    return false;
  }

  /** Sends a signal to a host process that this deployment started. */
  void signal(int host, String signal) throws IOException, InterruptedException {
    long pid = processes.get("host-" + host).pid();
    record("signal " + signal + " to host-" + host);
    new ProcessBuilder("kill", "-" + signal, String.valueOf(pid)).inheritIO().start().waitFor();
  }

  /** Stops a host as planned and waits until its process has ended. */
  void stopHost(int host) throws IOException, InterruptedException {
    signal(host, "TERM");
    processes.get("host-" + host).waitFor();
    record("host-" + host + " ended");
  }

  /** Makes the open channel on which one host sends to another go silent for good. */
  void silence(int from, int to) {
    record("the open channel from host-" + from + " to host-" + to + " goes silent");
    proxies.stream().filter(proxy -> proxy.host() == to).forEach(proxy -> proxy.silence(from));
  }

  /** Cuts a host off from all other hosts, or heals the cut. */
  void setCutFromHosts(int host, boolean cut) {
    record((cut ? "cut: host-" : "healed: host-") + host + " and all other hosts");
    proxies.forEach(proxy -> proxy.setCut(host, cut));
  }

  /** Cuts a host off from all other hosts and from the store, or heals the cut. */
  void setCutOff(int host, boolean cut) {
    record((cut ? "cut: host-" : "healed: host-") + host + " and all other hosts and the store");
    store.setCut(host, cut);
    proxies.forEach(proxy -> proxy.setCut(host, cut));
  }

  /** Cuts the way from one host to another, or heals the cut; the way back is not concerned. */
  void setCutWay(int from, int to, boolean cut) {
    record((cut ? "cut: from host-" : "healed: from host-") + from + " to host-" + to);
    proxies.forEach(proxy -> proxy.setCutWay(from, to, cut));
  }

  /** Delays what a host sends to others and receives from them; 0 ends the delay. */
  void setDelay(int host, long millis) {
    record("the links of host-" + host + " are delayed by " + millis + " ms");
    proxies.forEach(proxy -> proxy.setDelay(host, millis));
  }

  /** Returns the log of a host, of all its processes. */
  List<String> log(int host) throws IOException {
    return Files.readAllLines(temporary.resolve("host-" + host + ".log"), StandardCharsets.UTF_8);
  }

  /** Copies the logs of the hosts into the record, as far as they concern orders and ownership. */
  void recordLogs(String pattern) throws IOException {
    for (String host : processes.keySet()) {
      Path log = temporary.resolve(host + ".log");
      synchronized (record) {
        record.println();
        record.println("log of " + host + ", lines that match " + pattern);
        for (String line : Files.readAllLines(log, StandardCharsets.UTF_8)) {
          if (line.matches(".*(" + pattern + ").*")) {
            record.println("  " + line);
          }
        }
      }
    }
  }

  @Override
  public void close() throws IOException {
    for (Process process : processes.values()) {
      process.destroyForcibly();
    }
    for (Process process : processes.values()) {
      try {
        process.waitFor();
      } catch (InterruptedException exception) {
        Thread.currentThread().interrupt();
      }
    }
    store.close();
    proxies.forEach(PeerProxy::close);
    if (System.getenv("KEEP_LOGS") == null) {
      try (var files = Files.walk(temporary)) {
        files.sorted((first, second) -> second.compareTo(first)).forEach(path -> path.toFile().delete());
      }
    }
    record.close();
  }
}
