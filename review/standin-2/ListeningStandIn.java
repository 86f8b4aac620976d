import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Listens on a loopback address, and serves one request at a time on each channel. */
abstract class ListeningStandIn {

  private static final int BACKLOG = 512;

  private final ServerSocket listener;
  private final Set<Socket> channels = ConcurrentHashMap.newKeySet();
  private volatile boolean closed;

  ListeningStandIn(String ip) {
    try {
      listener = new ServerSocket(0, BACKLOG, InetAddress.getByName(ip));
    } catch (IOException exception) {
      throw new UncheckedIOException(exception);
    }
  }

  final void startServing() {
    thread(this::accept);
  }

  final String address() {
    return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
  }

  /** Answers a request; returns whether the channel stays open. */
  abstract boolean serve(Http.Message request, OutputStream out)
      throws IOException, InterruptedException;

  private void accept() {
    while (!closed) {
      try {
        Socket channel = listener.accept();
        channel.setTcpNoDelay(true);
        channels.add(channel);
        thread(() -> serve(channel));
      } catch (IOException exception) {
        return;
      }
    }
  }

  private void serve(Socket channel) {
    try (channel) {
      InputStream in = new BufferedInputStream(channel.getInputStream());
      while (!closed) {
        Optional<Http.Message> request = Http.read(in);
        if (request.isEmpty() || !serve(request.get(), channel.getOutputStream())) {
          return;
        }
      }
    } catch (IOException | InterruptedException exception) {
      // The channel ends with the exchange.
    } finally {
      channels.remove(channel);
    }
  }

  static void thread(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }

  final void close() {
    closed = true;
    try {
      listener.close();
      for (Socket channel : channels) {
        channel.close();
      }
    } catch (IOException exception) {
      throw new UncheckedIOException(exception);
    }
  }
}
