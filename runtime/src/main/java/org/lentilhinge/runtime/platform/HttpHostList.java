package org.lentilhinge.runtime.platform;

import io.reactivex.rxjava3.core.Single;
import io.vertx.core.http.HttpClient;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.identity.ZoneId;
import org.lentilhinge.membership.ListedHost;

/**
 * Reads the list of hosts and endpoints over HTTP: {@code GET /hosts}, a JSON array of objects with
 * {@code name}, {@code role} ({@code entry-host} or {@code endpoint}) and {@code leaving}, and for
 * entry hosts {@code zone} and {@code address}.
 */
public final class HttpHostList implements HostList {

  private static final String PATH = "/hosts";
  private static final int OK = 200;

  private final HttpGetClient getClient;

  /**
   * Creates a client.
   *
   * @param client the HTTP client
   * @param address the IP address and port of the service
   */
  public HttpHostList(HttpClient client, String address) {
    this.getClient = new HttpGetClient(client, address);
  }

  @Override
  public Single<HostListing> read() {
    return getClient.send(PATH, 0).flatMap(this::listing);
  }

  private Single<HostListing> listing(HttpGetClient.Response response) {
    if (response.status() != OK) {
      return Single.error(
          new PlatformException(
              getClient.describe(PATH) + ": unexpected status " + response.status()));
    }
    try {
      return Single.just(parse(response.body().toJsonArray()));
    } catch (RuntimeException exception) {
      // The list is external input: no malformed content may cause an uncaught exception.
      return Single.error(new PlatformException(getClient.describe(PATH), exception));
    }
  }

  private static HostListing parse(JsonArray array) {
    List<ListedHost> hosts = new ArrayList<>();
    List<ListedEndpoint> endpoints = new ArrayList<>();
    for (int index = 0; index < array.size(); index++) {
      JsonObject object = array.getJsonObject(index);
      if ("endpoint".equals(object.getString("role"))) {
        endpoints.add(endpoint(object));
      } else {
        hosts.add(host(object));
      }
    }
    return new HostListing(hosts, endpoints);
  }

  private static ListedEndpoint endpoint(JsonObject object) {
    return new ListedEndpoint(
        new EndpointId(object.getString("name")), object.getBoolean("leaving", false));
  }

  private static ListedHost host(JsonObject object) {
    return new ListedHost(
        new HostId(object.getString("name")),
        new ZoneId(object.getString("zone")),
        object.getString("address"),
        object.getBoolean("leaving", false));
  }
}
