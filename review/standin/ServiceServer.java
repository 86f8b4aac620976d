import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.LinkedHashMap;
import java.util.Map;

/** A stand-in of a plain service: answers each request after a fixed time with a body of a fixed length. */
final class ServiceServer {

  static final String SERVICE = "records";
  private static final long HEARTBEAT_MILLIS = 1_200;

  private final Deployment deployment;
  private final String id;
  private final ServerSocket listener = new ServerSocket();
  private final long workMillis;
  private final int bodyBytes;
  private final long born = System.currentTimeMillis();
  private long seq;

  ServiceServer(Deployment deployment, String id, long workMillis, int bodyBytes) throws IOException {
    this.deployment = deployment;
    this.id = id;
    this.workMillis = workMillis;
    this.bodyBytes = bodyBytes;
    listener.bind(new InetSocketAddress("127.0.3.2", 0), 100);
    start(this::accept);
    start(this::register);
  }

  private static void start(Runnable task) {
    Thread thread = new Thread(task, "service");
    thread.setDaemon(true);
    thread.start();
  }

  private void register() {
    while (!listener.isClosed()) {
      seq++;
      deployment.store.put(
          "servers/" + id,
          "{\"service\":\"" + SERVICE + "\",\"address\":\"127.0.3.2:" + listener.getLocalPort()
              + "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":" + seq
              + ",\"born\":" + born + "}");
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

  private void accept() {
    while (!listener.isClosed()) {
      try {
        Socket socket = listener.accept();
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
        String requestId = request.header("Lentilhinge-Request-Id");
        deployment.record("request " + requestId + " runs at " + id);
        sleep(workMillis);
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Content-Type", "application/octet-stream");
        headers.put("Lentilhinge-Request-Id", requestId);
        headers.put("Lentilhinge-Response-Seal", "seal-" + requestId);
        Http.write(out, "HTTP/1.1 200 OK", headers, "r".repeat(bodyBytes));
        deployment.record("request " + requestId + " is answered by " + id + " with " + bodyBytes + " bytes");
      }
    } catch (IOException exception) {
      // The host has closed the connection.
    }
  }

  void close() throws IOException {
    listener.close();
  }
}
