import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Three machines are lost, which the seeds of the machine that replaces one of them still name. */
public final class Case7 {

  private static final String HOST = "drain.example";
  private static final int PLACES = 6;
  private static final long EVENT_MILLIS = 30;
  private static final long LEASE_MILLIS = 3_000;
  private static final long SEED_LAG_MILLIS = 3_000;
  private static final long JOINING_MILLIS = 32_000;
  private static final int ROUNDS = 7;
  private static final long ROUND_MILLIS = 5_000;
  private static final int SEEDS = 3;
  private static final String[] ZONES = {
    "sofia-a", "sofia-b", "plovdiv-a", "sofia-a", "sofia-b", "plovdiv-a", "sofia-a"
  };

  private Case7() {}

  private static String configuration() {
    return "{\"version\":3,\"routes\":[{\"name\":\"r-summary\",\"host\":\""
        + HOST
        + "\",\"prefix\":\"/summary/\",\"kind\":\"stream\",\"timeout_ms\":5000,"
        + "\"target_latency_ms\":1000,\"priority\":1,\"service\":\"report-llm\","
        + "\"max_attempts\":1,\"sticky\":true,\"resumable\":false,\"gap_aim_ms\":400}],"
        + "\"services\":[{\"name\":\"report-llm\",\"health_path\":\"/health\","
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
    EngineServer engine =
        new EngineServer(
            "127.60.1.1", "i-0", "report-llm", "sofia-b", PLACES, EVENT_MILLIS, newest, store,
            record);
    EntryHost.Ports ports = EntryHost.Ports.free("127.60.2.1");
    List<String> ips = new ArrayList<>();
    for (int index = 0; index < ZONES.length; index++) {
      ips.add("127.60.2." + (index + 1));
    }
    List<String> seeds = ips.subList(0, SEEDS);
    List<EntryHost> hosts = new ArrayList<>();
    for (int index = 0; index < ips.size(); index++) {
      hosts.add(new EntryHost(ips.get(index), ZONES[index], ports, seeds, store, folder, record));
    }
    EntryHost added = new EntryHost("127.60.2.9", "sofia-b", ports, seeds, store, folder, record);
    int code = 2;
    try {
      code = new Play(trouble, engine, hosts, added, record).run();
    } finally {
      hosts.forEach(EntryHost::end);
      added.end();
    }
    // Any other end of this process, such as an exception, means that the case could not run.
    System.exit(code == 1 ? Record.BROKEN : code);
  }

  /** One play of the case. */
  private static final class Play {

    private final boolean trouble;
    private final EngineServer engine;
    private final List<EntryHost> hosts;
    private final EntryHost added;
    private final Record record;
    private final AtomicInteger numbers = new AtomicInteger();

    Play(
        boolean trouble,
        EngineServer engine,
        List<EntryHost> hosts,
        EntryHost added,
        Record record) {
      this.trouble = trouble;
      this.engine = engine;
      this.hosts = hosts;
      this.added = added;
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
      EntryHost other = hosts.get(SEEDS + 1);
      if (!awaitServed(other, 25_000)) {
        record.line("the engine was not taken over in time");
        return 2;
      }
      if (trouble) {
        for (EntryHost seed : hosts.subList(0, SEEDS)) {
          seed.signal("KILL");
        }
      }
      Thread.sleep(1_000);
      added.start();
      if (!added.awaitReady(10_000)) {
        record.line("the added host is not ready");
        return 2;
      }
      Thread.sleep(SEED_LAG_MILLIS);
      added.setSeeds(hosts.subList(SEEDS, 2 * SEEDS).stream().map(host -> host.ip).toList());
      added.render();
      record.line("the settings of the added host name live seeds from now on, without a signal");
      Thread.sleep(JOINING_MILLIS - SEED_LAG_MILLIS);
      for (int round = 0; round < ROUNDS && findBreak().isEmpty(); round++) {
        String adapter = "b" + round;
        ListeningStandIn.thread(() -> send(added, adapter));
        Thread.sleep(60);
        ListeningStandIn.thread(() -> send(other, adapter));
        Thread.sleep(ROUND_MILLIS);
      }
      Optional<String> found = findBreak();
      record.line(found.map(text -> "BROKEN: ONE: " + text).orElse("held"));
      return found.isPresent() ? 1 : 0;
    }

    /** Judges the orders that the server has obeyed, whatever name their holders bear. */
    private Optional<String> findBreak() {
      EngineServer.Order former = null;
      for (EngineServer.Order order : engine.obeyedOrders()) {
        if (former != null && !former.holder().equals(order.holder())) {
          String pair =
              String.format(
                  java.util.Locale.ROOT,
                  "%s with %d at %.3f, then %s with %d at %.3f",
                  former.holder(),
                  former.fence(),
                  former.second(),
                  order.holder(),
                  order.fence(),
                  order.second());
          if ((order.second() - former.second()) * 1_000 < LEASE_MILLIS) {
            return Optional.of("turns within the lease: " + pair);
          }
          if (order.fence() <= former.fence()) {
            return Optional.of("a number that is not higher: " + pair);
          }
        }
        former = order;
      }
      return Optional.empty();
    }

    private boolean awaitServed(EntryHost host, long millis) throws InterruptedException {
      long endNanos = System.nanoTime() + millis * 1_000_000;
      while (System.nanoTime() < endNanos) {
        if (send(host, "a1").equals("200")) {
          return true;
        }
        Thread.sleep(500);
      }
      return false;
    }

    private String send(EntryHost host, String adapter) {
      String id = "r-" + numbers.incrementAndGet() + "-" + adapter + "-" + host.ip;
      try (Caller caller = new Caller(host.front(), 6_000, record)) {
        Optional<Http.Message> answer =
            caller.call(
                "POST",
                HOST,
                "/summary/1",
                id,
                5_000,
                "prompt".getBytes(StandardCharsets.UTF_8),
                List.of(
                    new String[] {"Lentilhinge-Model", EngineServer.MODEL + "/" + adapter},
                    new String[] {"Lentilhinge-Token-Counts", "300,24"},
                    new String[] {
                      "Lentilhinge-Prompt-Prefix", "5c1e07a2:100," + numbers.get() + "ab:200"
                    }));
        return answer.map(message -> String.valueOf(message.status())).orElse("closed");
      } catch (IOException exception) {
        return "no answer";
      }
    }
  }
}
