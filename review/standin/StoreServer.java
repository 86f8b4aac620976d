import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** A stand-in of the platform's store: items with revisions, pages and waiting watches. */
final class StoreServer {

  private record Item(String key, String value, long rev, long createRev) {}

  private record Event(long rev, String json, String key) {}

  private final List<ServerSocket> listeners = new ArrayList<>();
  private final Set<Integer> cutHosts = ConcurrentHashMap.newKeySet();
  private final TreeMap<String, Item> items = new TreeMap<>();
  private final List<Event> events = new ArrayList<>();
  private long revision = 100;

  StoreServer(Deployment deployment) throws IOException {
    for (int number = 1; number <= deployment.hosts; number++) {
      int host = number;
      ServerSocket listener = new ServerSocket(0, 100, InetAddress.getByName("127.0.0.1"));
      listeners.add(listener);
      Thread acceptor = new Thread(() -> accept(host, listener), "store");
      acceptor.setDaemon(true);
      acceptor.start();
    }
  }

  /** Returns the address at which one host reaches the store. */
  String address(int host) {
    return "127.0.0.1:" + listeners.get(host - 1).getLocalPort();
  }

  /** Cuts a host off from the store: its calls are not answered until the cut is healed. */
  void setCut(int host, boolean cut) {
    if (cut) {
      cutHosts.add(host);
    } else {
      cutHosts.remove(host);
    }
  }

  synchronized void put(String key, String value) {
    revision++;
    Item former = items.get(key);
    String text = Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
    Item item = new Item(key, text, revision, former == null ? revision : former.createRev());
    items.put(key, item);
    events.add(new Event(revision, json(item), key));
    notifyAll();
  }

  synchronized void remove(String key) {
    if (items.remove(key) != null) {
      revision++;
      events.add(new Event(revision, "{\"key\":\"" + key + "\",\"rev\":" + revision + ",\"removed\":true}", key));
      notifyAll();
    }
  }

  private static String json(Item item) {
    return "{\"key\":\"" + item.key() + "\",\"value\":\"" + item.value() + "\",\"rev\":" + item.rev()
        + ",\"create_rev\":" + item.createRev() + ",\"lease\":0}";
  }

  private void accept(int host, ServerSocket listener) {
    while (!listener.isClosed()) {
      try {
        Socket socket = listener.accept();
        Thread thread = new Thread(() -> serve(host, socket), "store-connection");
        thread.setDaemon(true);
        thread.start();
      } catch (IOException exception) {
        return;
      }
    }
  }

  private void serve(int host, Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
      OutputStream out = socket.getOutputStream();
      for (HttpMessage request = Http.read(in, false); request != null; request = Http.read(in, false)) {
        String answer = answer(request.target());
        if (cutHosts.contains(host)) {
          // What is held up in a cut is lost.
          while (cutHosts.contains(host)) {
            Thread.sleep(20);
          }
          return;
        }
        Http.write(out, "HTTP/1.1 200 OK", Map.of("Content-Type", "application/json"), answer);
      }
    } catch (IOException | InterruptedException exception) {
      // The host has closed the connection.
    }
  }

  private String answer(String target) throws InterruptedException {
    Map<String, String> query = new HashMap<>();
    int mark = target.indexOf('?');
    if (mark >= 0) {
      for (String pair : target.substring(mark + 1).split("&")) {
        String[] parts = pair.split("=", 2);
        query.put(parts[0], URLDecoder.decode(parts.length > 1 ? parts[1] : "", StandardCharsets.UTF_8));
      }
    }
    return target.startsWith("/api/kv-watch")
        ? watch(query.get("prefix"), Long.parseLong(query.get("after")), Long.parseLong(query.get("wait_ms")))
        : range(query.get("prefix"), query.getOrDefault("after", ""));
  }

  private synchronized String range(String prefix, String after) {
    List<String> found = new ArrayList<>();
    for (Item item : items.tailMap(prefix).values()) {
      if (item.key().startsWith(prefix) && item.key().compareTo(after) > 0) {
        found.add(json(item));
      }
    }
    return "{\"items\":[" + String.join(",", found) + "],\"more_pages\":false,\"store_revision\":" + revision + "}";
  }

  private synchronized String watch(String prefix, long after, long waitMillis) throws InterruptedException {
    long end = System.currentTimeMillis() + waitMillis;
    while (true) {
      List<String> found = new ArrayList<>();
      for (Event event : events) {
        if (event.rev() > after && event.key().startsWith(prefix)) {
          found.add(event.json());
        }
      }
      long left = end - System.currentTimeMillis();
      if (!found.isEmpty() || left <= 0) {
        return "{\"events\":[" + String.join(",", found) + "],\"store_revision\":" + revision + "}";
      }
      wait(left);
    }
  }

  void close() throws IOException {
    for (ServerSocket listener : listeners) {
      listener.close();
    }
  }
}
