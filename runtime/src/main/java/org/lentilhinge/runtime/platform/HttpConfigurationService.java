package org.lentilhinge.runtime.platform;

import io.reactivex.rxjava3.core.Maybe;
import io.vertx.core.http.HttpClient;
import java.nio.charset.StandardCharsets;

/**
 * Reads and watches values over HTTP: {@code GET /values/KEY?after=REVISION&wait=MILLIS}. The
 * service responds with status 200 and the revision as ETag, with 304 if the value has not changed
 * during the wait, or with 404 if the key has no value.
 */
public final class HttpConfigurationService implements ConfigurationService {

  private static final int OK = 200;
  private static final int NOT_MODIFIED = 304;
  private static final int NOT_FOUND = 404;

  private final HttpGetClient getClient;

  /**
   * Creates a client.
   *
   * @param client the HTTP client; its pool must allow a pending watch in addition to the reads
   * @param address the IP address and port of the service
   */
  public HttpConfigurationService(HttpClient client, String address) {
    this.getClient = new HttpGetClient(client, address);
  }

  @Override
  public Maybe<PublishedValue> read(String key) {
    return value("/values/" + key, 0);
  }

  @Override
  public Maybe<PublishedValue> watch(String key, long afterRevision, long waitMillis) {
    String path = "/values/" + key + "?after=" + afterRevision + "&wait=" + waitMillis;
    return value(path, waitMillis);
  }

  private Maybe<PublishedValue> value(String path, long waitMillis) {
    return getClient.send(path, waitMillis).flatMapMaybe(response -> value(path, response));
  }

  private Maybe<PublishedValue> value(String path, HttpGetClient.Response response) {
    if (response.status() == NOT_MODIFIED || response.status() == NOT_FOUND) {
      return Maybe.empty();
    }
    if (response.status() != OK) {
      return Maybe.error(
          new PlatformException(
              getClient.describe(path) + ": unexpected status " + response.status()));
    }
    try {
      long revision = Long.parseLong(String.valueOf(response.etag()).replace("\"", ""));
      return Maybe.just(
          new PublishedValue(response.body().toString(StandardCharsets.UTF_8), revision));
    } catch (NumberFormatException exception) {
      return Maybe.error(
          new PlatformException(
              getClient.describe(path) + ": the ETag is not a revision", exception));
    }
  }
}
