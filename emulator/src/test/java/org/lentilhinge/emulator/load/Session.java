package org.lentilhinge.emulator.load;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.util.List;
import java.util.TreeMap;

/** Sends a caller's requests to a gateway and records requests and responses in a transcript. */
final class Session {

  private static final int MAXIMUM_RECORDED_CHARACTERS = 500;

  private final HttpClient client = HttpClient.newHttpClient();
  private final StringBuilder transcript = new StringBuilder();
  private final int port;

  Session(int port) {
    this.port = port;
  }

  void post(String path, String body, String... headers) throws IOException, InterruptedException {
    exchange("POST", path, body, headers);
  }

  void get(String path, String... headers) throws IOException, InterruptedException {
    exchange("GET", path, "", headers);
  }

  String transcript() {
    return transcript.toString();
  }

  private void exchange(String method, String path, String body, String... headers)
      throws IOException, InterruptedException {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
            .version(HttpClient.Version.HTTP_1_1)
            .method(method, BodyPublishers.ofString(body));
    transcript.append("> ").append(method).append(' ').append(path).append('\n');
    for (int index = 0; index < headers.length; index += 2) {
      request.header(headers[index], headers[index + 1]);
      transcript.append("> ").append(headers[index]).append(": ");
      transcript.append(shorten(headers[index + 1])).append('\n');
    }
    if (!body.isEmpty()) {
      transcript.append('\n').append(shorten(body)).append('\n');
    }
    write(client.send(request.build(), BodyHandlers.ofString()));
  }

  private void write(HttpResponse<String> response) {
    transcript.append("\n< ").append(response.statusCode()).append('\n');
    new TreeMap<>(response.headers().map())
        .forEach((name, values) -> transcript.append(header(name, values)));
    transcript.append('\n').append(response.body()).append('\n');
  }

  private static String shorten(String text) {
    return text.length() > MAXIMUM_RECORDED_CHARACTERS
        ? "(" + text.length() + " characters)"
        : text;
  }

  private static String header(String name, List<String> values) {
    return "< " + name + ": " + String.join(", ", values) + "\n";
  }
}
