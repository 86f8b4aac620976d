package org.lentilhinge.runtime.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.AfterClass;
import org.testng.annotations.Test;

/** Tests requests that arrive before the first read of the store, as after a restart. */
public class StartupRequestBufferTest {

  private final Vertx vertx = Vertx.vertx();

  /** Closes the event loops. */
  @AfterClass
  public void close() {
    vertx.close().toCompletionStage().toCompletableFuture().join();
  }

  @Test
  public void requestBeforeFirstReadIsForwardedAfterIt() throws IOException {
    ScriptedEndpoint endpoint =
        new ScriptedEndpoint(
            vertx, (socket, request) -> socket.write(ForwardFixture.response("i", "served")));
    try (ForwardFixture fixture = new ForwardFixture(vertx)) {
      fixture.readStoreAfterNextRequest(List.of(endpoint.address()));
      String response = fixture.send(ForwardFixture.request("POST", "/unsafe/x", "i", "body"));
      assertTrue(response.endsWith("served"), response);
    }
  }

  @Test
  public void bufferIsBoundedInTimeAndSize() {
    StartupRequestBuffer buffer = new StartupRequestBuffer(1_000);
    List<String> forwarded = new ArrayList<>();
    assertTrue(buffer.offer(() -> forwarded.add("one"), 1_000));
    assertTrue(buffer.offer(() -> forwarded.add("two"), 1_100));
    assertFalse(
        buffer.offer(
            () -> forwarded.add("late"), 1_000 + StartupRequestBuffer.MAXIMUM_WAIT_MILLIS));
    buffer.release();
    buffer.release();
    assertEquals(forwarded, List.of("one", "two"));
    int buffered = 0;
    while (buffer.offer(() -> {}, 1_200)) {
      buffered++;
    }
    assertEquals(buffered, 256);
  }
}
