import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** A channel of a client, on which it sends one request after the other. */
final class Caller implements AutoCloseable {

  private static final int CONNECT_MILLIS = 1_000;

  private final Socket socket = new Socket();
  private final InputStream in;
  private final Record record;

  Caller(String address, int readTimeoutMillis, Record record) throws IOException {
    this.record = record;
    int colon = address.lastIndexOf(':');
    socket.connect(
        new InetSocketAddress(
            InetAddress.getByName(address.substring(0, colon)),
            Integer.parseInt(address.substring(colon + 1))),
        CONNECT_MILLIS);
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(readTimeoutMillis);
    in = new BufferedInputStream(socket.getInputStream());
  }

  /** Sends a request and awaits its answer; empty if the channel ends without one. */
  Optional<Http.Message> call(
      String method, String host, String path, String id, long deadlineMillis, byte[] body)
      throws IOException {
    return call(method, host, path, id, deadlineMillis, body, List.of());
  }

  Optional<Http.Message> call(
      String method,
      String host,
      String path,
      String id,
      long deadlineMillis,
      byte[] body,
      List<String[]> further)
      throws IOException {
    List<String[]> headers = new ArrayList<>(further);
    headers.add(new String[] {"Host", host});
    headers.add(new String[] {"Lentilhinge-Request-Id", id});
    headers.add(new String[] {"Lentilhinge-Deadline-Ms", String.valueOf(deadlineMillis)});
    record.line("sent     " + id + " " + method + " " + path + " body " + body.length);
    Optional<Http.Message> answer;
    try {
      socket.getOutputStream().write(Http.format(method + ' ' + path + " HTTP/1.1", headers, body));
      socket.getOutputStream().flush();
      answer = Http.read(in);
    } catch (IOException exception) {
      record.line("no answer " + id + " " + exception.getMessage());
      throw exception;
    }
    record.line("answered " + id + " " + answer.map(Caller::describe).orElse("channel closed"));
    return answer;
  }

  private static String describe(Http.Message answer) {
    return answer.status()
        + " seal "
        + answer.header("Lentilhinge-Response-Seal").orElse("none")
        + " connection "
        + answer.header("Connection").orElse("kept");
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
