import java.io.IOException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** The parts that the cases share. */
final class Cases {

  static final String HOST = "site.example";
  static final String PREFIX = "/reports/";
  private static final String LOGGED_EVENTS =
      "event=(start|stop|stopped|host-lost|host-joined|hold-lost|order|order-decided|engine-report|permit|permit-refused)";
  private static final AtomicInteger NUMBERS = new AtomicInteger();

  private Cases() {}

  /** Publishes a configuration with one route to the model servers. */
  static void publishConfiguration(Deployment deployment) {
    deployment.store.put(
        "op/config",
        "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":\"" + HOST + "\",\"prefix\":\"" + PREFIX
            + "\",\"kind\":\"stream\",\"timeout_ms\":15000,\"target_latency_ms\":1000,\"priority\":1,\"service\":\""
            + EngineServer.SERVICE
            + "\",\"max_attempts\":1,\"sticky\":true,\"resumable\":false,\"gap_aim_ms\":400}],\"services\":[{\"name\":\""
            + EngineServer.SERVICE
            + "\",\"health_path\":\"/health\",\"max_conns\":370,\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":64,"
            + "\"kv_tokens\":148252,\"models\":[{\"name\":\"" + EngineServer.MODEL
            + "\",\"weights_mb\":65500,\"load_s\":2.9,\"adapters\":3000,\"adapter_mb\":40}],\"weights_mb\":67100,"
            + "\"adapter_slots\":" + EngineServer.ADAPTER_SLOTS + ",\"loads_per_s\":2.4}}],\"limits\":{\"max_header_bytes\":16384,"
            + "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}");
  }

  /** Sends one stream request for an adapter to a host and returns its status; 0 without a response. */
  static int ask(Deployment deployment, int host, String adapter, boolean longStream) {
    String id = String.format("%016x", 0xabc000L + NUMBERS.incrementAndGet());
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("Host", HOST);
    headers.put("Lentilhinge-Request-Id", id);
    headers.put("Lentilhinge-Model", EngineServer.MODEL + "/" + adapter);
    headers.put("Lentilhinge-Token-Counts", longStream ? "400,171" : "400,24");
    headers.put("Lentilhinge-Prompt-Prefix", "5c1e07a2:300," + id.substring(8) + ":100");
    headers.put("Lentilhinge-Deadline-Ms", "15000");
    deployment.record("client asks host-" + host + " for " + adapter + ", id " + id);
    try {
      HttpMessage response =
          Http.call(deployment.callerAddress(host), "POST", PREFIX + "2f", headers, "prompt", 16_000);
      deployment.record(
          "client of host-" + host + ", id " + id + ": status " + response.status()
              + (response.status() == 200 ? (response.complete() ? ", whole stream" : ", CUT stream") : ", " + response.body().trim()));
      return response.complete() ? response.status() : 0;
    } catch (IOException exception) {
      deployment.record("client of host-" + host + ", id " + id + ": no response, " + exception.getMessage());
      return 0;
    }
  }

  /** Asks until a request is served, as a client that honours the refusals. */
  static boolean askUntilServed(Deployment deployment, int host, String adapter, long timeoutMillis) throws InterruptedException {
    long end = Deployment.now() + timeoutMillis;
    while (Deployment.now() < end) {
      if (ask(deployment, host, adapter, false) == 200) {
        return true;
      }
      Thread.sleep(400);
    }
    return false;
  }

  /** Asks until a request is served; the case cannot go on without it. */
  static void requireServed(Deployment deployment, int host, String adapter, long timeoutMillis)
      throws IOException, InterruptedException {
    if (!askUntilServed(deployment, host, adapter, timeoutMillis)) {
      throw new IOException(adapter + " is not served by host-" + host);
    }
  }

  /** Starts three hosts, one in the zone of the model server, and waits until they know each other. */
  static void startHosts(Deployment deployment) throws IOException, InterruptedException {
    deployment.startHost(1, "zone-a");
    deployment.startHost(2, "zone-b");
    deployment.startHost(3, "zone-b");
    for (int host = 1; host <= 3; host++) {
      if (!deployment.awaitReady(host, 20_000)) {
        throw new IOException("host-" + host + " is not ready");
      }
    }
    Thread.sleep(6_000);
  }

  /**
   * Runs a case and returns its exit code: 0 if the rule held, 1 if it was broken, 2 if the case
   * could not run.
   */
  static int run(String[] arguments, Case body) {
    Path folder = Path.of(arguments[0]).toAbsolutePath();
    Path root = Path.of(arguments[1]).toAbsolutePath();
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    try (Deployment deployment = new Deployment(folder, root)) {
      deployment.record("disruption: " + (trouble ? "yes" : "no (TROUBLE=0)"));
      List<String> breaks = body.play(deployment, trouble);
      breaks.forEach(text -> deployment.record("BROKEN " + text));
      deployment.record(breaks.isEmpty() ? "the rule held" : "the rule was broken");
      deployment.recordLogs(LOGGED_EVENTS);
      return breaks.isEmpty() ? 0 : 1;
    } catch (Exception exception) {
      System.err.println("the case could not run: " + exception);
      return 2;
    }
  }

  /** Plays a case and returns the breaks of its rule. */
  interface Case {
    List<String> play(Deployment deployment, boolean trouble) throws IOException, InterruptedException;
  }
}
