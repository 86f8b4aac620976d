import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/** A sound server of a plain service: runs each request once, and registers itself. */
class PlainServer extends ListeningStandIn {

  private static final long BEAT_MILLIS = 1_200;
  private static final long WORK_MILLIS = 20;

  /** A run of a request. */
  record Run(String id, String server, String target, int bodyBytes, double second) {}

  final String id;
  private final StoreStandIn store;
  private final String service;
  private final String zone;
  private final Record record;
  private final Queue<Run> runs = new ConcurrentLinkedQueue<>();
  private volatile boolean registered = true;

  PlainServer(
      String ip, String id, String service, String zone, StoreStandIn store, Record record) {
    super(ip);
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.store = store;
    this.record = record;
    startServing();
    beat();
    thread(this::beats);
  }

  private void beats() {
    try {
      while (registered) {
        Thread.sleep(BEAT_MILLIS);
        if (registered) {
          beat();
        }
      }
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
    }
  }

  private void beat() {
    store.put("servers/" + id, registration());
  }

  String registration() {
    return "{\"service\":\""
        + service
        + "\",\"address\":\""
        + address()
        + "\",\"zone\":\""
        + zone
        + "\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":0}";
  }

  Queue<Run> runs() {
    return runs;
  }

  @Override
  boolean serve(Http.Message request, OutputStream out) throws IOException, InterruptedException {
    String expected = request.header("Lentilhinge-Expect-Instance").orElse(id);
    List<String[]> headers = new ArrayList<>();
    String requestId = request.header("Lentilhinge-Request-Id").orElse("");
    if (!requestId.isEmpty()) {
      headers.add(new String[] {"Lentilhinge-Request-Id", requestId});
    }
    headers.add(new String[] {"Keep-Alive", "timeout=10"});
    if (request.word(1).equals("/health")) {
      headers.add(new String[] {"Lentilhinge-Instance-Id", id});
      out.write(Http.format("HTTP/1.1 200 OK", headers, new byte[0]));
    } else if (!expected.equals(id)) {
      headers.add(new String[] {"Lentilhinge-Instance-Id", id});
      out.write(Http.format("HTTP/1.1 421 Misdirected Request", headers, new byte[0]));
    } else if (requestId.isEmpty()) {
      headers.add(new String[] {"Lentilhinge-Not-Executed", "1"});
      out.write(Http.format("HTTP/1.1 400 Bad Request", headers, new byte[0]));
    } else {
      run(request, requestId, headers, out);
    }
    out.flush();
    return true;
  }

  private void run(
      Http.Message request, String requestId, List<String[]> headers, OutputStream out)
      throws IOException, InterruptedException {
    runs.add(new Run(requestId, id, request.word(1), request.body.length, record.seconds()));
    record.line("run      " + requestId + " at " + id + " body " + request.body.length);
    Thread.sleep(WORK_MILLIS);
    byte[] body = ("done " + requestId + "\n").getBytes(StandardCharsets.UTF_8);
    headers.add(
        new String[] {"Lentilhinge-Response-Seal", "seal." + id + "." + requestId});
    out.write(Http.format("HTTP/1.1 200 OK", headers, body));
  }
}
