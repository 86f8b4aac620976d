import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Stops a host as planned while a client reads a long answer. The server has answered long before
 * the end of the grace time, and the client reads on all the time.
 */
final class PlannedStop {

  private static final int BODY_BYTES = 4_190_000;
  private static final int WINDOW_BYTES = 65_536;
  private static final int READ_BYTES = 16_000;
  private static final long READ_MILLIS = 18;
  private static final long WORK_MILLIS = 2_500;
  private static final String PREFIX = "/records/";

  private PlannedStop() {}

  public static void main(String[] arguments) {
    System.exit(Cases.run(arguments, PlannedStop::play));
  }

  private static List<String> play(Deployment deployment, boolean trouble) throws IOException, InterruptedException {
    deployment.store.put(
        "op/config",
        "{\"version\":7,\"routes\":[{\"name\":\"r-2\",\"host\":\"" + Cases.HOST + "\",\"prefix\":\"" + PREFIX
            + "\",\"kind\":\"safe\",\"timeout_ms\":10000,\"target_latency_ms\":2000,\"priority\":2,\"service\":\""
            + ServiceServer.SERVICE + "\",\"max_attempts\":2}],\"services\":[{\"name\":\"" + ServiceServer.SERVICE
            + "\",\"health_path\":\"/health\",\"max_conns\":110,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{"
            + "\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}");
    ServiceServer service = new ServiceServer(deployment, "i-02d9e6b4", WORK_MILLIS, BODY_BYTES);
    deployment.startHost(1, "zone-a");
    deployment.startHost(2, "zone-a");
    for (int host = 1; host <= 2; host++) {
      if (!deployment.awaitReady(host, 20_000)) {
        throw new IOException("host-" + host + " is not ready");
      }
    }
    Thread.sleep(3_000);
    List<String> breaks = new ArrayList<>();
    Thread stop =
        new Thread(
            () -> {
              try {
                Thread.sleep(200);
                if (trouble) {
                  deployment.signal(1, "TERM");
                }
              } catch (IOException | InterruptedException exception) {
                Thread.currentThread().interrupt();
              }
            });
    long sentAt = Deployment.now();
    stop.start();
    int length = download(deployment, sentAt);
    stop.join();
    if (length < BODY_BYTES) {
      breaks.add(
          "LOST: the channel ended after " + length + " of " + BODY_BYTES + " bytes, " + (Deployment.now() - sentAt)
              + " ms after the request was sent");
    }
    service.close();
    return breaks;
  }

  /** Reads an answer at the speed of a slow link and returns the number of bytes of its body. */
  private static int download(Deployment deployment, long sentAt) throws IOException, InterruptedException {
    String id = "00000000000abc99";
    try (Socket socket = new Socket()) {
      socket.setReceiveBufferSize(WINDOW_BYTES);
      socket.connect(deployment.callerAddress(1), 1_000);
      socket.setSoTimeout(15_000);
      Map<String, String> headers = new LinkedHashMap<>();
      headers.put("Host", Cases.HOST);
      headers.put("Lentilhinge-Request-Id", id);
      headers.put("Lentilhinge-Deadline-Ms", "10000");
      deployment.record("client asks host-1 for a record, id " + id);
      Http.write(socket.getOutputStream(), "GET " + PREFIX + "2f HTTP/1.1", headers, "");
      InputStream in = socket.getInputStream();
      byte[] bytes = new byte[READ_BYTES];
      int total = 0;
      int head = -1;
      StringBuilder start = new StringBuilder();
      for (int read = in.read(bytes); read >= 0; read = in.read(bytes)) {
        total += read;
        if (head < 0) {
          start.append(new String(bytes, 0, read, java.nio.charset.StandardCharsets.ISO_8859_1));
          int end = start.indexOf("\r\n\r\n");
          head = end < 0 ? -1 : end + 4;
          if (head >= 0) {
            deployment.record("client, id " + id + ": " + start.substring(0, start.indexOf("\r\n")));
          }
        }
        if (head >= 0 && total - head >= BODY_BYTES) {
          break;
        }
        Thread.sleep(READ_MILLIS);
      }
      deployment.record("client, id " + id + ": read " + (total - Math.max(0, head)) + " bytes of the body");
      return total - Math.max(0, head);
    } catch (IOException exception) {
      deployment.record("client, id " + id + ": " + exception.getMessage() + " after " + (Deployment.now() - sentAt) + " ms");
      return 0;
    }
  }
}
