import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A sound model server: holds one model and a few adapters, takes orders, and streams answers. An
 * order to load more adapters than it has places for makes it crash, as the pages say.
 */
final class EngineServer extends ListeningStandIn {

  static final String MODEL = "m0";
  private static final long BEAT_MILLIS = 1_200;
  private static final long LOAD_MILLIS = 250;
  private static final long REPORT_AGE_MILLIS = 200;
  private static final int TOKENS_PER_EVENT = 3;

  /** An adapter that is held, with the version to which it is being replaced, if any. */
  private static final class Held {
    private long version;
    private long nextVersion;
    private boolean unloading;
    private int runs;
  }

  private record Report(long atNanos, String json) {}

  /** An order that the server answered. */
  record Order(double second, String holder, long fence, int status) {}

  final String id;
  private final StoreStandIn store;
  private final String service;
  private final String zone;
  private final int places;
  private final long eventMillis;
  private final Map<String, Long> newest;
  private final Record record;
  private final long born = System.currentTimeMillis();
  private final Map<String, Held> held = new LinkedHashMap<>();
  private final Map<String, Long> coming = new LinkedHashMap<>();
  private final Deque<Report> reports = new ArrayDeque<>();
  private final List<Order> orders = new ArrayList<>();
  private final Map<String, Integer> runsById = new HashMap<>();
  private long seq;
  private int running;
  private boolean crashed;
  private String crashCause = "";

  EngineServer(
      String ip,
      String id,
      String service,
      String zone,
      int places,
      long eventMillis,
      Map<String, Long> newest,
      StoreStandIn store,
      Record record) {
    super(ip);
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.places = places;
    this.eventMillis = eventMillis;
    this.newest = newest;
    this.store = store;
    this.record = record;
    remember();
    startServing();
    beat();
    thread(this::beats);
  }

  private void beats() {
    try {
      while (!isCrashed()) {
        Thread.sleep(BEAT_MILLIS);
        if (!isCrashed()) {
          beat();
        }
      }
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
    }
  }

  private void beat() {
    store.put("servers/" + id, state(true));
  }

  synchronized boolean isCrashed() {
    return crashed;
  }

  synchronized String crashCause() {
    return crashCause;
  }

  /** Returns the orders that the server has carried out or that held already. */
  synchronized List<Order> obeyedOrders() {
    return orders.stream().filter(order -> order.status() == 202 || order.status() == 200).toList();
  }

  synchronized int runs(String requestId) {
    return runsById.getOrDefault(requestId, 0);
  }

  private synchronized String state(boolean registration) {
    List<String> names = new ArrayList<>();
    held.forEach((name, adapter) -> names.add("\"" + name + "@" + adapter.version + "\""));
    List<String> onTheWay = new ArrayList<>();
    coming.forEach(
        (name, version) -> onTheWay.add("\"" + MODEL + "/" + name + "@" + version + "\""));
    String common =
        "\"stage\":\"both\",\"born\":"
            + born
            + ",\"models\":[{\"name\":\""
            + MODEL
            + "\",\"version\":1,\"adapters\":["
            + String.join(",", names)
            + "]}],\"seq\":"
            + seq;
    return registration
        ? "{\"service\":\""
            + service
            + "\",\"address\":\""
            + address()
            + "\",\"zone\":\""
            + zone
            + "\",\"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"cold_left_ms\":0,"
            + common
            + "}"
        : "{"
            + common
            + ",\"busy\":false,\"waiting\":0,\"running\":"
            + running
            + ",\"kv_used\":1000,\"kv_total\":148252,\"handles\":0,\"coming\":["
            + String.join(",", onTheWay)
            + "]}";
  }

  /** Keeps the reports of the last moments, because the values are some hundred ms old. */
  private synchronized void remember() {
    reports.addLast(new Report(System.nanoTime(), state(false)));
  }

  private synchronized String agedReport() {
    long limit = System.nanoTime() - REPORT_AGE_MILLIS * 1_000_000;
    while (reports.size() > 1) {
      Report first = reports.removeFirst();
      if (reports.getFirst().atNanos() > limit) {
        reports.addFirst(first);
        break;
      }
    }
    return reports.getFirst().json();
  }

  @Override
  boolean serve(Http.Message request, OutputStream out) throws IOException, InterruptedException {
    if (isCrashed()) {
      return false;
    }
    List<String[]> headers = new ArrayList<>();
    request
        .header("Lentilhinge-Request-Id")
        .ifPresent(value -> headers.add(new String[] {"Lentilhinge-Request-Id", value}));
    headers.add(new String[] {"Keep-Alive", "timeout=10"});
    if (!request.header("Lentilhinge-Expect-Instance").orElse(id).equals(id)) {
      headers.add(new String[] {"Lentilhinge-Instance-Id", id});
      out.write(Http.format("HTTP/1.1 421 Misdirected Request", headers, new byte[0]));
      return true;
    }
    switch (request.word(1)) {
      case "/health" -> out.write(Http.format("HTTP/1.1 200 OK", headers, new byte[0]));
      case "/api/report" -> {
        headers.add(new String[] {"Content-Type", "application/json"});
        byte[] body = agedReport().getBytes(StandardCharsets.UTF_8);
        out.write(Http.format("HTTP/1.1 200 OK", headers, body));
      }
      case "/api/order" -> {
        int status = order(new String(request.body, StandardCharsets.UTF_8));
        if (status == 0) {
          return false;
        }
        out.write(Http.format("HTTP/1.1 " + status + " Order", headers, new byte[0]));
      }
      default -> {
        return generate(request, headers, out);
      }
    }
    out.flush();
    return true;
  }

  private static Optional<String> field(String json, String name) {
    Matcher matcher = Pattern.compile("\"" + name + "\"\\s*:\\s*\"?([^\",}]+)").matcher(json);
    return matcher.find() ? Optional.of(matcher.group(1)) : Optional.empty();
  }

  /** Carries out an order; returns the status, or 0 if the server crashes. */
  private synchronized int order(String json) {
    int status = decide(json);
    orders.add(
        new Order(
            record.seconds(),
            field(json, "holder").orElse(""),
            Long.parseLong(field(json, "fence").orElse("0")),
            status));
    record.line("order    at " + id + " " + json + " -> " + (status == 0 ? "crash" : status));
    remember();
    return status;
  }

  private int decide(String json) {
    Optional<String> adapter = field(json, "adapter");
    if (field(json, "holder").isEmpty() || field(json, "fence").isEmpty() || adapter.isEmpty()) {
      return 400;
    }
    String name = adapter.get();
    Held present = held.get(name);
    boolean load = field(json, "op").orElse("").equals("load");
    long version =
        field(json, "version").map(Long::parseLong).orElse(newest.getOrDefault(name, 1L));
    boolean underWay =
        load && (coming.containsKey(name) || present != null && present.nextVersion >= version);
    if (underWay) {
      return 202;
    }
    Optional<Long> expected = field(json, "expected").map(Long::parseLong);
    if (expected.isPresent() && expected.get() != seq) {
      return 409;
    }
    if (!load) {
      seq++;
      if (present == null) {
        return 200;
      }
      present.unloading = true;
      removeIfUnused(name);
      return held.containsKey(name) ? 202 : 200;
    }
    if (present != null && present.version >= version) {
      return 200;
    }
    seq++;
    if (present != null) {
      present.nextVersion = version;
      replaceIfUnused(name);
      return 202;
    }
    if (held.size() + coming.size() >= places) {
      crash("ordered to load " + name + " beside " + held.keySet() + " and " + coming.keySet());
      return 0;
    }
    coming.put(name, version);
    later(() -> arrive(name));
    return 202;
  }

  private void later(Runnable task) {
    thread(
        () -> {
          try {
            Thread.sleep(LOAD_MILLIS);
            task.run();
          } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
          }
        });
  }

  private synchronized void arrive(String name) {
    Held adapter = new Held();
    adapter.version = coming.remove(name);
    held.put(name, adapter);
    remember();
  }

  /** Replaces an adapter once its runs have ended. */
  private void replaceIfUnused(String name) {
    Held adapter = held.get(name);
    if (adapter != null && adapter.nextVersion > 0 && adapter.runs == 0) {
      later(
          () -> {
            synchronized (this) {
              adapter.version = Math.max(adapter.version, adapter.nextVersion);
              adapter.nextVersion = 0;
              record.line("replaced at " + id + " " + name + "@" + adapter.version);
              remember();
            }
          });
    }
  }

  private void removeIfUnused(String name) {
    Held adapter = held.get(name);
    if (adapter != null && adapter.unloading && adapter.runs == 0) {
      held.remove(name);
    }
  }

  private void crash(String cause) {
    crashed = true;
    crashCause = cause;
    record.line("CRASH    of " + id + " with " + running + " running: " + cause);
    thread(this::close);
  }

  private boolean generate(Http.Message request, List<String[]> headers, OutputStream out)
      throws IOException, InterruptedException {
    String requestId = request.header("Lentilhinge-Request-Id").orElse("");
    String model = request.header("Lentilhinge-Model").orElse("");
    String name = model.substring(model.indexOf('/') + 1);
    long expected =
        request.header("Lentilhinge-Expect-Version").map(Long::parseLong).orElse(0L);
    Held adapter;
    int refusal = 0;
    synchronized (this) {
      adapter = held.get(name);
      if (adapter == null && coming.containsKey(name)
          || adapter != null && (adapter.nextVersion > 0 || adapter.unloading)) {
        refusal = 503;
      } else if (adapter == null || expected > 0 && adapter.version != expected) {
        refusal = 421;
      } else {
        adapter.runs++;
        running++;
        runsById.merge(requestId, 1, Integer::sum);
        record.line("run      " + requestId + " at " + id + " on " + name + "@" + adapter.version);
      }
    }
    if (refusal > 0) {
      headers.add(new String[] {"Lentilhinge-Not-Executed", "1"});
      record.line("rejected " + requestId + " at " + id + " with " + refusal);
      out.write(Http.format("HTTP/1.1 " + refusal + " Not Executed", headers, new byte[0]));
      out.flush();
      return true;
    }
    try {
      stream(request, requestId, headers, out);
    } finally {
      synchronized (this) {
        adapter.runs--;
        running--;
        replaceIfUnused(name);
        removeIfUnused(name);
        remember();
      }
    }
    return true;
  }

  private void stream(
      Http.Message request, String requestId, List<String[]> headers, OutputStream out)
      throws IOException, InterruptedException {
    int tokens =
        Integer.parseInt(
            request.header("Lentilhinge-Token-Counts").orElse("100,24").split(",")[1].trim());
    StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\n");
    headers.add(new String[] {"Lentilhinge-Response-Seal", "seal." + id + "." + requestId});
    headers.add(new String[] {"Lentilhinge-Weight-Versions", "1"});
    headers.add(new String[] {"Content-Type", "text/event-stream"});
    headers.add(new String[] {"Transfer-Encoding", "chunked"});
    for (String[] header : headers) {
      head.append(header[0]).append(": ").append(header[1]).append("\r\n");
    }
    out.write(head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
    int events = Math.max(1, tokens / TOKENS_PER_EVENT);
    for (int event = 1; event <= events; event++) {
      Thread.sleep(eventMillis);
      if (isCrashed()) {
        throw new IOException("crashed");
      }
      String text = "id: " + event + "\ndata: part " + event + " of " + requestId + "\n\n";
      byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
      out.write((Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.US_ASCII));
      out.write(bytes);
      out.write("\r\n".getBytes(StandardCharsets.US_ASCII));
      out.flush();
    }
    out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
    out.flush();
    record.line("run ends " + requestId + " at " + id);
  }
}
