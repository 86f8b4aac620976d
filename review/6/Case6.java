import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A new version of an adapter is announced while a long report runs on the former one. */
public final class Case6 {

  private static final String HOST = "drain.example";
  private static final int PLACES = 6;
  private static final int ADAPTERS = 16;
  private static final int SHORT_TOKENS = 24;
  private static final int LONG_TOKENS = 558;
  private static final long EVENT_MILLIS = 75;
  private static final long TIMEOUT_MILLIS = 15_000;
  private static final String LONG_ADAPTER = "a1";
  private static final long SHORT_INTERVAL_MILLIS = 150;
  private static final String[] ZONES = {"sofia-a", "sofia-b", "plovdiv-a"};

  private Case6() {}

  private static String configuration() {
    String route =
        "{\"name\":\"%s\",\"host\":\""
            + HOST
            + "\",\"prefix\":\"%s\",\"kind\":\"stream\",\"timeout_ms\":%d,"
            + "\"target_latency_ms\":1000,\"priority\":%d,\"service\":\"report-llm\","
            + "\"max_attempts\":1,\"sticky\":true,\"resumable\":false,\"gap_aim_ms\":400}";
    return "{\"version\":3,\"routes\":["
        + String.format(route, "r-report", "/report/", TIMEOUT_MILLIS, 0)
        + ","
        + String.format(route, "r-summary", "/summary/", 5_000, 1)
        + "],\"services\":[{\"name\":\"report-llm\",\"health_path\":\"/health\","
        + "\"max_conns\":370,\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":64,"
        + "\"kv_tokens\":148252,\"models\":[{\"name\":\""
        + EngineServer.MODEL
        + "\",\"weights_mb\":65500.0,\"load_s\":2.9,\"adapters\":3000,\"adapter_mb\":40.0}],"
        + "\"weights_mb\":67100.0,\"adapter_slots\":"
        + PLACES
        + ",\"loads_per_s\":2.4}}],"
        + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
        + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";
  }

  public static void main(String[] arguments) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Path folder = Path.of(arguments[0]);
    Record record = new Record(Path.of(arguments[1]));
    StoreStandIn store = new StoreStandIn("127.60.0.1");
    store.put("op/config", configuration());
    Map<String, Long> newest = new ConcurrentHashMap<>();
    List<EngineServer> engines = new ArrayList<>();
    for (int index = 0; index < 2; index++) {
      engines.add(
          new EngineServer(
              "127.60.1." + (index + 1),
              "i-" + index,
              "report-llm",
              ZONES[index],
              PLACES,
              EVENT_MILLIS,
              newest,
              store,
              record));
    }
    EntryHost.Ports ports = EntryHost.Ports.free("127.60.2.1");
    List<String> ips = List.of("127.60.2.1", "127.60.2.2", "127.60.2.3");
    List<EntryHost> hosts = new ArrayList<>();
    for (int index = 0; index < ips.size(); index++) {
      hosts.add(new EntryHost(ips.get(index), ZONES[index], ports, ips, store, folder, record));
    }
    int code = 2;
    try {
      code = new Play(trouble, store, newest, engines, hosts, record).run();
    } finally {
      hosts.forEach(EntryHost::end);
    }
    // Any other end of this process, such as an exception, means that the case could not run.
    System.exit(code == 1 ? Record.BROKEN : code);
  }

  /** One play of the case. */
  private static final class Play {

    private final boolean trouble;
    private final StoreStandIn store;
    private final Map<String, Long> newest;
    private final List<EngineServer> engines;
    private final List<EntryHost> hosts;
    private final Record record;
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger numbers = new AtomicInteger();
    private volatile boolean ended;
    private volatile String longResult = "under way";

    Play(
        boolean trouble,
        StoreStandIn store,
        Map<String, Long> newest,
        List<EngineServer> engines,
        List<EntryHost> hosts,
        Record record) {
      this.trouble = trouble;
      this.store = store;
      this.newest = newest;
      this.engines = engines;
      this.hosts = hosts;
      this.record = record;
    }

    int run() throws IOException, InterruptedException {
      for (EntryHost host : hosts) {
        host.start();
      }
      for (EntryHost host : hosts) {
        if (!host.awaitReady(20_000)) {
          record.line("not ready: host " + host.ip);
          return 2;
        }
      }
      Random random = new Random(7);
      ListeningStandIn.thread(() -> sendShort(random));
      if (!awaitServed(20, 30_000)) {
        record.line("the engines were not taken over in time");
        return 2;
      }
      String longId = "long-" + numbers.incrementAndGet();
      ListeningStandIn.thread(() -> longResult = send(longId, "/report/1", LONG_ADAPTER, true));
      if (!awaitRun(longId, 10_000)) {
        record.line("the long report did not begin");
        return 2;
      }
      Thread.sleep(1_000);
      if (trouble) {
        newest.put(LONG_ADAPTER, 2L);
        store.put(
            "op/version/" + EngineServer.MODEL + "." + LONG_ADAPTER,
            "{\"model\":\""
                + EngineServer.MODEL
                + "\",\"adapter\":\""
                + LONG_ADAPTER
                + "\",\"version\":2}");
        record.line("acknowledged: version 2 of " + LONG_ADAPTER);
      }
      Thread.sleep(500);
      String next = "next-" + numbers.incrementAndGet();
      ListeningStandIn.thread(() -> send(next, "/summary/1", LONG_ADAPTER, false));
      long endNanos = System.nanoTime() + (TIMEOUT_MILLIS + 3_000) * 1_000_000;
      while (System.nanoTime() < endNanos && crashed().isEmpty()) {
        Thread.sleep(100);
      }
      Thread.sleep(1_000);
      ended = true;
      Thread.sleep(500);
      record.line("short reports served " + served.get() + ", the long one: " + longResult);
      crashed().ifPresent(engine -> record.line("BROKEN: LIMIT at " + engine.id + ": "
          + engine.crashCause()));
      return crashed().isPresent() ? 1 : 0;
    }

    private Optional<EngineServer> crashed() {
      return engines.stream().filter(EngineServer::isCrashed).findFirst();
    }

    private boolean awaitServed(int count, long millis) throws InterruptedException {
      long endNanos = System.nanoTime() + millis * 1_000_000;
      while (System.nanoTime() < endNanos) {
        if (served.get() >= count) {
          return true;
        }
        Thread.sleep(100);
      }
      return false;
    }

    private boolean awaitRun(String id, long millis) throws InterruptedException {
      long endNanos = System.nanoTime() + millis * 1_000_000;
      while (System.nanoTime() < endNanos) {
        if (engines.stream().anyMatch(engine -> engine.runs(id) > 0)) {
          return true;
        }
        Thread.sleep(50);
      }
      return false;
    }

    private void sendShort(Random random) {
      try {
        while (!ended) {
          String adapter = "a" + (2 + random.nextInt(ADAPTERS - 1));
          String id = "short-" + numbers.incrementAndGet();
          ListeningStandIn.thread(() -> send(id, "/summary/1", adapter, false));
          Thread.sleep(SHORT_INTERVAL_MILLIS);
        }
      } catch (InterruptedException exception) {
        Thread.currentThread().interrupt();
      }
    }

    /** Sends a request on a new channel, once more after a refusal. */
    private String send(String id, String path, String adapter, boolean isLong) {
      String result = "";
      for (int attempt = 0; attempt < (isLong ? 20 : 2); attempt++) {
        EntryHost host = hosts.get((id.hashCode() + attempt & 0xff) % hosts.size());
        String attemptId = isLong ? id : id + "-" + attempt;
        try (Caller caller = new Caller(host.front(), (int) TIMEOUT_MILLIS, record)) {
          Optional<Http.Message> answer =
              caller.call(
                  "POST",
                  HOST,
                  path,
                  attemptId,
                  isLong ? TIMEOUT_MILLIS : 5_000,
                  "prompt".getBytes(StandardCharsets.UTF_8),
                  List.of(
                      new String[] {"Lentilhinge-Model", EngineServer.MODEL + "/" + adapter},
                      new String[] {
                        "Lentilhinge-Token-Counts", "300," + (isLong ? LONG_TOKENS : SHORT_TOKENS)
                      },
                      new String[] {
                        "Lentilhinge-Prompt-Prefix", "5c1e07a2:100," + attemptId.hashCode() + ":200"
                      }));
          result = answer.map(message -> String.valueOf(message.status())).orElse("closed");
          if (result.equals("200")) {
            served.incrementAndGet();
            return result;
          }
          Thread.sleep(
              answer
                  .flatMap(message -> message.header("Retry-After"))
                  .map(seconds -> Math.min(2_000, (long) (Double.parseDouble(seconds) * 1_000)))
                  .orElse(300L));
        } catch (IOException exception) {
          return "no complete answer: " + exception.getMessage();
        } catch (InterruptedException exception) {
          Thread.currentThread().interrupt();
        }
      }
      return result;
    }
  }
}
