import java.util.Map;

/** A request or a response; the names of headers are in lower case. */
record HttpMessage(String first, Map<String, String> headers, String body, boolean complete) {

  int status() {
    return Integer.parseInt(first.split(" ")[1]);
  }

  String method() {
    return first.split(" ")[0];
  }

  String target() {
    return first.split(" ")[1];
  }

  String header(String name) {
    return headers.getOrDefault(name.toLowerCase(java.util.Locale.ROOT), "");
  }
}
