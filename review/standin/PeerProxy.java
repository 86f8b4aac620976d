import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Passes on the connections of other hosts to one host. While two hosts are cut off from each
 * other, bytes between them are held up and new connections are not answered, as in a partition;
 * what was held up is lost. A cut may concern a host, or one way between two hosts. The links of a
 * host may also be delayed.
 */
final class PeerProxy {

  private static final Pattern NAME = Pattern.compile("127\\.0\\.2\\.(\\d+)");

  private final int host;
  private final ServerSocket listener;
  private final int port;
  private final Set<Integer> cutHosts = ConcurrentHashMap.newKeySet();
  private final Set<Way> cutWays = ConcurrentHashMap.newKeySet();
  private final Map<Integer, Long> delays = new ConcurrentHashMap<>();
  private final Set<Link> links = ConcurrentHashMap.newKeySet();

  private record Way(int from, int to) {}

  private final class Link {
    private final Socket near;
    private final Socket far;
    private volatile int dialer;
    private volatile boolean silent;

    Link(Socket near, Socket far) {
      this.near = near;
      this.far = far;
    }

    boolean isCut() {
      return silent || cutHosts.contains(host) || cutHosts.contains(dialer);
    }

    /** Indicates whether bytes of the dialer, or those for it, are held up. */
    boolean isCut(boolean fromDialer) {
      return isCut() || cutWays.contains(fromDialer ? new Way(dialer, host) : new Way(host, dialer));
    }

    long delayMillis() {
      return delays.getOrDefault(host, 0L) + delays.getOrDefault(dialer, 0L);
    }

    void close() {
      links.remove(this);
      closeQuietly(near);
      closeQuietly(far);
    }
  }

  PeerProxy(Deployment deployment, int host, int port) throws IOException {
    this.host = host;
    this.port = port;
    listener = new ServerSocket(port, 100, InetAddress.getByName(Deployment.name(host)));
    start(this::accept);
  }

  int host() {
    return host;
  }

  private static void start(Runnable task) {
    Thread thread = new Thread(task, "peer-proxy");
    thread.setDaemon(true);
    thread.start();
  }

  /** Cuts a host off from all others, or ends the cut and drops the connections that it held up. */
  void setCut(int cutHost, boolean cut) {
    if (cut) {
      cutHosts.add(cutHost);
    } else {
      links.stream().filter(Link::isCut).forEach(Link::close);
      cutHosts.remove(cutHost);
    }
  }

  /** Cuts one way between two hosts, or ends the cut and drops the connections that it held up. */
  void setCutWay(int from, int to, boolean cut) {
    Way way = new Way(from, to);
    if (cut) {
      cutWays.add(way);
    } else if (cutWays.remove(way)) {
      links.stream()
          .filter(link -> way.equals(new Way(link.dialer, host)) || way.equals(new Way(host, link.dialer)))
          .forEach(Link::close);
    }
  }

  /** Delays what a host sends and receives. */
  void setDelay(int delayedHost, long millis) {
    delays.put(delayedHost, millis);
  }

  /** Makes the open connections of one host go silent for good, without a reset; new ones work. */
  void silence(int dialer) {
    links.stream().filter(link -> link.dialer == dialer).forEach(link -> link.silent = true);
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        Socket near = listener.accept();
        near.setTcpNoDelay(true);
        Socket far = connect(near);
        far.setTcpNoDelay(true);
        Link link = new Link(near, far);
        links.add(link);
        start(() -> copy(link, near, far, true));
        start(() -> copy(link, far, near, false));
      } catch (IOException exception) {
        // The host does not listen now: its peer connects again.
      }
    }
  }

  /** Connects to the host, or closes the connection of its peer if the host does not listen. */
  private Socket connect(Socket near) throws IOException {
    try {
      return new Socket(Deployment.ip(host), port);
    } catch (IOException exception) {
      closeQuietly(near);
      throw exception;
    }
  }

  private void copy(Link link, Socket from, Socket to, boolean fromDialer) {
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      byte[] bytes = new byte[65_536];
      for (int length = in.read(bytes); length >= 0; length = in.read(bytes)) {
        if (fromDialer && link.dialer == 0) {
          // The first message of a link names the host that sends it.
          Matcher matcher = NAME.matcher(new String(bytes, 0, length, StandardCharsets.ISO_8859_1));
          if (matcher.find()) {
            link.dialer = Integer.parseInt(matcher.group(1));
          }
        }
        delay(link);
        if (link.isCut(fromDialer)) {
          continue;
        }
        out.write(bytes, 0, length);
      }
    } catch (IOException exception) {
      // One end has closed the connection.
    }
    if (!link.isCut(fromDialer)) {
      link.close();
    }
  }

  private static void delay(Link link) {
    long millis = link.delayMillis();
    if (millis > 0) {
      try {
        Thread.sleep(millis);
      } catch (InterruptedException exception) {
        Thread.currentThread().interrupt();
      }
    }
  }

  private static void closeQuietly(Socket socket) {
    try {
      socket.close();
    } catch (IOException exception) {
      // The socket is unusable anyway.
    }
  }

  void close() {
    try {
      listener.close();
    } catch (IOException exception) {
      // The listener is unusable anyway.
    }
    links.forEach(Link::close);
  }
}
