package org.lentilhinge.emulator.proxy;

import static org.testng.Assert.assertEquals;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.PoolOptions;
import java.util.Arrays;
import java.util.List;
import org.testng.annotations.AfterClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that a client that pairs responses with requests by order gets repeated responses. */
public class RepeatingProxyTest {

  private static final String ID_HEADER = "X-Request-Id";

  private final Vertx vertx = Vertx.vertx();

  @AfterClass
  public void stop() {
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  @DataProvider
  public static Object[][] cases() {
    return Arrays.stream(RepeatedResponse.values())
        .flatMap(form -> List.of(false, true).stream().map(chunked -> new Object[] {form, chunked}))
        .toArray(Object[][]::new);
  }

  @Test(dataProvider = "cases")
  public void keptConnectionGetsFormerResponseOnceMore(RepeatedResponse form, boolean chunked) {
    int port = startProxy(form, chunked);
    HttpClient client = vertx.createHttpClient(new PoolOptions().setHttp1MaxSize(1));
    assertEquals(await(get(client, port, "one")).body(), "/one");
    Response second = await(get(client, port, "two"));
    assertEquals(second.body(), "/one");
    List<String> names =
        switch (form) {
          case NAMED -> List.of("one");
          case NAMED_TWICE -> List.of("one", "two");
          default -> List.of();
        };
    assertEquals(second.names(), names);
  }

  private int startProxy(RepeatedResponse form, boolean chunked) {
    HttpServer server =
        vertx
            .createHttpServer()
            .requestHandler(request -> request.response().setChunked(chunked).end(request.path()));
    int port = await(server.listen(0, "127.0.0.1")).actualPort();
    return new RepeatingProxy(vertx, form, ID_HEADER).start(port).blockingGet();
  }

  private static Future<Response> get(HttpClient client, int port, String id) {
    return client
        .request(HttpMethod.GET, port, "127.0.0.1", "/" + id)
        .map(request -> request.putHeader(ID_HEADER, id))
        .compose(HttpClientRequest::send)
        .compose(RepeatingProxyTest::read);
  }

  private static Future<Response> read(HttpClientResponse response) {
    return response
        .body()
        .map(body -> new Response(body.toString(), response.headers().getAll(ID_HEADER)));
  }

  private static <T> T await(Future<T> future) {
    return future.toCompletionStage().toCompletableFuture().join();
  }

  private record Response(String body, List<String> names) {}
}
