import java.io.IOException;
import java.io.OutputStream;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's metadata store: items, ranges in pages, and awaited changes. */
final class StoreStandIn extends ListeningStandIn {

  private static final int PAGE_ITEMS = 500;
  private static final int ANSWER_MILLIS = 4;

  private record Item(String key, String value, long rev, long created) {}

  private final TreeMap<String, Item> items = new TreeMap<>();
  private final List<Item> history = new ArrayList<>();
  private long revision = 100;

  StoreStandIn(String ip) {
    super(ip);
    startServing();
  }

  /** Writes an item; its return is the acknowledgement. */
  synchronized long put(String key, String json) {
    revision++;
    Item former = items.get(key);
    String value = Base64.getEncoder().encodeToString(json.getBytes(StandardCharsets.UTF_8));
    Item item = new Item(key, value, revision, former == null ? revision : former.created());
    items.put(key, item);
    history.add(item);
    notifyAll();
    return revision;
  }

  synchronized void remove(String key) {
    if (items.remove(key) != null) {
      revision++;
      history.add(new Item(key, null, revision, 0));
      notifyAll();
    }
  }

  @Override
  boolean serve(Http.Message request, OutputStream out) throws IOException, InterruptedException {
    String target = request.word(1);
    int mark = target.indexOf('?');
    String path = mark < 0 ? target : target.substring(0, mark);
    Map<String, String> query = query(mark < 0 ? "" : target.substring(mark + 1));
    Thread.sleep(ANSWER_MILLIS);
    String body =
        switch (path) {
          case "/api/kv-key" -> key(query.get("key"));
          case "/api/kv-range" -> range(query.get("prefix"), query.getOrDefault("after", ""));
          case "/api/kv-watch" ->
              watch(
                  query.get("prefix"),
                  Long.parseLong(query.get("after")),
                  Long.parseLong(query.getOrDefault("wait_ms", "0")));
          default -> "";
        };
    String status = body.isEmpty() ? "404 Not Found" : "200 OK";
    List<String[]> headers = List.<String[]>of(new String[] {"Content-Type", "application/json"});
    out.write(
        Http.format("HTTP/1.1 " + status, headers, body.getBytes(StandardCharsets.UTF_8)));
    out.flush();
    return true;
  }

  private static Map<String, String> query(String text) {
    Map<String, String> values = new HashMap<>();
    for (String pair : text.split("&")) {
      int equals = pair.indexOf('=');
      if (equals > 0) {
        values.put(
            pair.substring(0, equals),
            URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
      }
    }
    return values;
  }

  private static String json(Item item) {
    return item.value() == null
        ? "{\"key\":\"" + item.key() + "\",\"rev\":" + item.rev() + ",\"removed\":true}"
        : "{\"key\":\""
            + item.key()
            + "\",\"value\":\""
            + item.value()
            + "\",\"rev\":"
            + item.rev()
            + ",\"create_rev\":"
            + item.created()
            + ",\"lease\":0}";
  }

  private synchronized String key(String key) {
    Item item = items.get(key);
    String found = item == null ? "" : json(item);
    return found.isEmpty()
        ? ""
        : found.substring(0, found.length() - 1) + ",\"store_revision\":" + revision + "}";
  }

  private synchronized String range(String prefix, String after) {
    List<String> page = new ArrayList<>();
    boolean more = false;
    for (Item item : items.tailMap(after, false).values()) {
      if (item.key().startsWith(prefix)) {
        if (page.size() == PAGE_ITEMS) {
          more = true;
          break;
        }
        page.add(json(item));
      }
    }
    return "{\"items\":["
        + String.join(",", page)
        + "],\"more_pages\":"
        + more
        + ",\"store_revision\":"
        + revision
        + "}";
  }

  private synchronized String watch(String prefix, long after, long waitMillis)
      throws InterruptedException {
    long endNanos = System.nanoTime() + waitMillis * 1_000_000;
    while (true) {
      List<String> events =
          history.stream()
              .filter(item -> item.rev() > after && item.key().startsWith(prefix))
              .map(StoreStandIn::json)
              .toList();
      long leftMillis = (endNanos - System.nanoTime()) / 1_000_000;
      if (!events.isEmpty() || leftMillis <= 0) {
        return "{\"events\":["
            + String.join(",", events)
            + "],\"store_revision\":"
            + revision
            + "}";
      }
      wait(leftMillis);
    }
  }
}
