import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A stand-in of a model server with one base model and places for six adapters, as PROTOCOL.md
 * describes it. It registers itself in the store, and crashes if it is ordered to load more adapters
 * than it has places for.
 */
final class EngineServer {

  static final String SERVICE = "llm";
  static final String MODEL = "base";
  static final int ADAPTER_SLOTS = 6;
  private static final long HEARTBEAT_MILLIS = 1_200;
  private static final long LOAD_MILLIS = 250;
  private static final long REPORT_LAG_MILLIS = 200;
  private static final int EVENTS = 8;
  private static final long EVENT_MILLIS = 60;

  /** An order as it arrived, with the answer to it. */
  record Order(long atMillis, String op, String adapter, String holder, long fence, long expected, int status) {}

  private record Snapshot(long atMillis, String json) {}

  final String id;
  final List<Order> orders = new ArrayList<>();
  private final Deployment deployment;
  private final String zone;
  private final ServerSocket listener;
  private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
  private final Map<String, Integer> resident = new TreeMap<>();
  private final Map<String, Integer> coming = new LinkedHashMap<>();
  private final Map<String, Integer> running = new TreeMap<>();
  private final Deque<Snapshot> snapshots = new ArrayDeque<>();
  private final long born = System.currentTimeMillis();
  private final long registeredAfterMillis;
  private long seq;
  private volatile boolean crashed;
  private volatile boolean closed;
  private int cutStreams;
  private volatile boolean seqRaised;
  private volatile int answersToBreakOff;
  private volatile int refusalsToRepeat;
  private volatile long orderDelayMillis;
  private volatile long frozenUntilMillis;
  private final AtomicInteger answers = new AtomicInteger();
  private final AtomicInteger garbledAnswers = new AtomicInteger();

  /** The copies of responses that are sent at the point where the next response is expected. */
  private final Map<Socket, String> lateResponses = new ConcurrentHashMap<>();

  EngineServer(Deployment deployment, String id, String zone) throws IOException {
    this(deployment, id, zone, 0, 0);
  }

  private EngineServer(Deployment deployment, String id, String zone, int port, long registeredAfterMillis)
      throws IOException {
    this.deployment = deployment;
    this.id = id;
    this.zone = zone;
    this.registeredAfterMillis = registeredAfterMillis;
    listener = new ServerSocket();
    listener.setReuseAddress(true);
    listener.bind(new InetSocketAddress("127.0.3.1", port), 100);
    snapshot();
    start(this::accept);
    start(this::register);
  }

  /**
   * Starts the server again at its address and under its id, empty and with counts that start anew.
   *
   * @param registeredAfterMillis the time for which it has no path to the store, in milliseconds
   */
  EngineServer startAgain(long registeredAfterMillis) throws IOException {
    return new EngineServer(deployment, id, zone, listener.getLocalPort(), registeredAfterMillis);
  }

  private static void start(Runnable task) {
    Thread thread = new Thread(task, "engine");
    thread.setDaemon(true);
    thread.start();
  }

  boolean isCrashed() {
    return crashed;
  }

  synchronized int cutStreams() {
    return cutStreams;
  }

  /** Returns the orders so far. */
  synchronized List<Order> ordersSoFar() {
    return List.copyOf(orders);
  }

  /** Returns the holder of the latest order, the name of a host. */
  synchronized String latestHolder() {
    return orders.get(orders.size() - 1).holder();
  }

  synchronized String places() {
    return "resident " + resident.keySet() + ", coming " + coming.keySet();
  }

  /**
   * Makes the server hand out wrong bytes.
   *
   * @param broken the number of answers to accepted orders that are broken off
   * @param repeated the number of refusals of orders that are sent once more, late
   */
  void garble(int broken, int repeated) {
    answersToBreakOff = broken;
    refusalsToRepeat = repeated;
  }

  /** Makes the server answer orders late, which take effect when they arrive; 0 ends the delay. */
  void delayOrderAnswers(long millis) {
    orderDelayMillis = millis;
  }

  /** Makes the server read no further request until some time has passed. */
  void freeze(long millis) {
    deployment.record(id + " does not run for " + millis + " ms");
    frozenUntilMillis = Deployment.now() + millis;
  }

  int answers() {
    return answers.get();
  }

  int garbledAnswers() {
    return garbledAnswers.get();
  }

  private String address() {
    return "127.0.3.1:" + listener.getLocalPort();
  }

  private void register() {
    sleep(registeredAfterMillis);
    while (!crashed && !closed) {
      String value;
      synchronized (this) {
        value =
            "{\"service\":\"" + SERVICE + "\",\"address\":\"" + address() + "\",\"zone\":\"" + zone
                + "\",\"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"cold_left_ms\":0,\"stage\":\"both\",\"models\":"
                + models() + ",\"seq\":" + seq + ",\"born\":" + born + "}";
      }
      deployment.store.put("servers/" + id, value);
      sleep(HEARTBEAT_MILLIS);
    }
  }

  private static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
    }
  }

  private String models() {
    List<String> names = new ArrayList<>();
    resident.forEach((name, version) -> names.add("\"" + name + "@" + version + "\""));
    return "[{\"name\":\"" + MODEL + "\",\"version\":1,\"adapters\":[" + String.join(",", names) + "]}]";
  }

  /** Keeps the present state for the reports, which lag behind it. */
  private void snapshot() {
    List<String> names = new ArrayList<>();
    coming.forEach((name, version) -> names.add("\"" + MODEL + "/" + name + "@" + version + "\""));
    int runs = running.values().stream().mapToInt(Integer::intValue).sum();
    String json =
        "{\"stage\":\"both\",\"models\":" + models() + ",\"busy\":false,\"seq\":" + seq + ",\"waiting\":0,\"running\":" + runs
            + ",\"kv_used\":0,\"kv_total\":148252,\"handles\":0,\"coming\":[" + String.join(",", names)
            + "],\"state\":\"ready\",\"runs\":[]}";
    snapshots.addLast(new Snapshot(Deployment.now(), json));
  }

  private synchronized String report() {
    long until = Deployment.now() - REPORT_LAG_MILLIS;
    while (snapshots.size() > 1) {
      Snapshot first = snapshots.removeFirst();
      if (snapshots.getFirst().atMillis() > until) {
        snapshots.addFirst(first);
        break;
      }
    }
    return snapshots.getFirst().json();
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        Socket socket = listener.accept();
        connections.add(socket);
        start(() -> serve(socket));
      } catch (IOException exception) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
      OutputStream out = socket.getOutputStream();
      for (HttpMessage request = Http.read(in, false); request != null; request = Http.read(in, false)) {
        String late = lateResponses.remove(socket);
        if (late != null) {
          garbledAnswers.incrementAndGet();
          deployment.record("garble: " + id + " repeats a former response, the next request is " + request.first());
          out.write(late.getBytes(StandardCharsets.UTF_8));
          out.flush();
        }
        answer(socket, request, out);
        answers.incrementAndGet();
      }
    } catch (IOException exception) {
      // The caller has closed the connection, or this server has crashed.
    }
    connections.remove(socket);
  }

  private void answer(Socket socket, HttpMessage request, OutputStream out) throws IOException {
    sleep(Math.max(0, frozenUntilMillis - Deployment.now()));
    String expectedId = request.header("Lentilhinge-Expect-Instance");
    if (!expectedId.isEmpty() && !expectedId.equals(id)) {
      Http.write(out, "HTTP/1.1 421 Misdirected Request", Map.of("Lentilhinge-Instance-Id", id), "");
    } else if (request.target().equals("/api/report")) {
      Http.write(out, "HTTP/1.1 200 OK", Map.of("Content-Type", "application/json"), report());
    } else if (request.target().equals("/api/order")) {
      int status = order(request.body());
      if (crashed) {
        throw new IOException("crashed");
      }
      sleep(orderDelayMillis);
      answerOrder(socket, status, out);
    } else if (request.target().equals("/health")) {
      Http.write(out, "HTTP/1.1 200 OK", Map.of("Lentilhinge-Instance-Id", id), "");
    } else {
      stream(request, out);
    }
  }

  private void answerOrder(Socket socket, int status, OutputStream out) throws IOException {
    if (status == 202 && seqRaised && answersToBreakOff > 0) {
      answersToBreakOff--;
      garbledAnswers.incrementAndGet();
      deployment.record("garble: " + id + " breaks off its answer to an order");
      out.write("HTTP/1.1 2".getBytes(StandardCharsets.UTF_8));
      out.flush();
      throw new IOException("broken off");
    }
    Http.write(out, "HTTP/1.1 " + status + " Order", Map.of(), "");
    if (status == 409 && refusalsToRepeat > 0) {
      refusalsToRepeat--;
      lateResponses.put(socket, "HTTP/1.1 409 Order\r\nContent-Length: 0\r\n\r\n");
    }
  }

  private static String text(String json, String name) {
    Matcher matcher = Pattern.compile("\"" + name + "\"\\s*:\\s*\"?([^\",}]*)").matcher(json);
    return matcher.find() ? matcher.group(1) : "";
  }

  private static long number(String json, String name) {
    String text = text(json, name);
    return text.isEmpty() ? -1 : Long.parseLong(text);
  }

  private synchronized int order(String json) {
    String op = text(json, "op");
    String adapter = text(json, "adapter");
    long expected = number(json, "expected");
    long version = Math.max(0, number(json, "version"));
    long seqBefore = seq;
    seqRaised = false;
    int status = adapter.isEmpty() ? 200 : op.equals("load") ? load(adapter, (int) version, expected) : unload(adapter, expected);
    Order order =
        new Order(Deployment.now(), op, adapter, text(json, "holder"), number(json, "fence"), expected, status);
    orders.add(order);
    seqRaised = seq > seqBefore;
    deployment.record(
        "order at " + id + ": " + op + " " + adapter + " from " + order.holder() + ", fence " + order.fence() + ", expected "
            + expected + ", seq " + seqBefore + ", answered " + (crashed ? "not at all (crash)" : status) + "; " + places());
    return status;
  }

  private int load(String adapter, int version, long expected) {
    if (resident.getOrDefault(adapter, -1) >= version) {
      return 200;
    }
    if (coming.containsKey(adapter)) {
      return 202;
    }
    if (expected >= 0 && expected != seq) {
      return 409;
    }
    if (!resident.containsKey(adapter) && resident.size() + coming.size() >= ADAPTER_SLOTS) {
      crash(adapter);
      return 0;
    }
    seq++;
    coming.put(adapter, version);
    snapshot();
    start(
        () -> {
          sleep(LOAD_MILLIS);
          synchronized (this) {
            coming.remove(adapter);
            resident.put(adapter, version);
            snapshot();
          }
        });
    return 202;
  }

  private int unload(String adapter, long expected) {
    if (!resident.containsKey(adapter)) {
      return 200;
    }
    if (expected >= 0 && expected != seq) {
      return 409;
    }
    if (running.getOrDefault(adapter, 0) > 0) {
      return 202;
    }
    seq++;
    resident.remove(adapter);
    snapshot();
    return 200;
  }

  private void crash(String adapter) {
    crashed = true;
    cutStreams = running.values().stream().mapToInt(Integer::intValue).sum();
    deployment.record(
        id + " CRASHES: ordered to load " + adapter + " beyond its " + ADAPTER_SLOTS + " places (" + places() + "), "
            + cutStreams + " streams are cut");
    close();
  }

  private void stream(HttpMessage request, OutputStream out) throws IOException {
    String model = request.header("Lentilhinge-Model");
    String adapter = model.contains("/") ? model.substring(model.indexOf('/') + 1) : "";
    String requestId = request.header("Lentilhinge-Request-Id");
    synchronized (this) {
      if (!adapter.isEmpty() && !resident.containsKey(adapter)) {
        deployment.record("request " + requestId + " at " + id + ": " + adapter + " is absent, answered 421");
        Http.write(out, "HTTP/1.1 421 Misdirected Request", Map.of("Lentilhinge-Request-Id", requestId, "Lentilhinge-Not-Executed", "1"), "");
        return;
      }
      running.merge(adapter, 1, Integer::sum);
      deployment.record("request " + requestId + " runs at " + id + " with " + adapter);
    }
    try {
      String head =
          "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nLentilhinge-Request-Id: "
              + requestId + "\r\nLentilhinge-Weight-Versions: 1\r\nLentilhinge-Response-Seal: seal-" + requestId + "\r\n\r\n";
      out.write(head.getBytes(StandardCharsets.UTF_8));
      int events = request.header("Lentilhinge-Token-Counts").endsWith(",171") ? 57 : EVENTS;
      for (int event = 1; event <= events; event++) {
        sleep(EVENT_MILLIS);
        String text = "id: " + event + "\ndata: " + requestId + "-" + event + "\n\n";
        out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.UTF_8));
        out.flush();
      }
      out.write("0\r\n\r\n".getBytes(StandardCharsets.UTF_8));
      out.flush();
    } finally {
      synchronized (this) {
        running.merge(adapter, -1, Integer::sum);
        snapshot();
      }
    }
  }

  void close() {
    closed = true;
    try {
      listener.close();
      for (Socket socket : connections) {
        socket.setSoLinger(true, 0);
        socket.close();
      }
    } catch (IOException exception) {
      // The sockets are unusable anyway.
    }
  }
}
