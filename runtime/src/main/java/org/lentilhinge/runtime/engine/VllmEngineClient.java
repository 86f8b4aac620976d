package org.lentilhinge.runtime.engine;

import com.codahale.metrics.MetricRegistry;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.lentilhinge.identity.AttemptId;
import org.lentilhinge.identity.EndpointId;

/**
 * Client of engines with vLLM's published HTTP interface: completions with an adapter version as
 * the model, and loading and unloading of LoRA adapters at run time. Features that this interface
 * lacks (fencing, cancel, resume, the list of attempts) use additional headers and members, which
 * are ignored by engines that do not support them.
 *
 * <p>Create one instance per process. Tests pass a virtual scheduler and its clock.
 */
public final class VllmEngineClient implements EngineClient {

  private final EngineTransport transport;

  /**
   * Creates a client.
   *
   * @param vertx the Vert.x instance for the connections
   * @param settings the timeouts and limits
   * @param scheduler the scheduler of the timeouts
   * @param nowMillis the host's monotonic clock, in milliseconds, for inactivity timeouts
   * @param metrics the registry that counts attempts and replaced connections
   */
  public VllmEngineClient(
      Vertx vertx,
      EngineClientSettings settings,
      Scheduler scheduler,
      LongSupplier nowMillis,
      MetricRegistry metrics) {
    this.transport = new EngineTransport(vertx, settings, scheduler, nowMillis, metrics);
  }

  @Override
  public Flowable<EngineChunk> run(EngineRequest request, BooleanSupplier mayWrite) {
    return new EngineStream(transport, request, mayWrite);
  }

  @Override
  public Single<Boolean> cancel(EndpointId endpoint, String address, AttemptId attempt) {
    JsonObject body = new JsonObject().put("request_id", attempt.toString());
    return transport
        .exchange(EngineCall.post(endpoint, address, "/v1/cancel", body), () -> true)
        .map(reply -> json(endpoint, reply).getBoolean("cancelled", false));
  }

  @Override
  public Completable load(EngineOrder order, BooleanSupplier mayWrite) {
    String name = order.adapter().toString();
    JsonObject body = new JsonObject().put("lora_name", name).put("lora_path", name);
    return order(order, "/v1/load_lora_adapter", body, mayWrite);
  }

  @Override
  public Completable unload(EngineOrder order, BooleanSupplier mayWrite) {
    JsonObject body = new JsonObject().put("lora_name", order.adapter().toString());
    return order(order, "/v1/unload_lora_adapter", body, mayWrite);
  }

  @Override
  public Single<EngineReport> report(EndpointId endpoint, String address) {
    return transport
        .exchange(EngineCall.get(endpoint, address, "/load"), () -> true)
        .map(reply -> VllmCodec.decodeReport(endpoint, json(endpoint, reply)));
  }

  private Completable order(
      EngineOrder order, String path, JsonObject body, BooleanSupplier mayWrite) {
    EngineCall call =
        EngineCall.post(order.endpoint(), order.address(), path, body)
            .withFencingToken(order.fencingToken());
    return transport.exchange(call, mayWrite).ignoreElement();
  }

  private static JsonObject json(EndpointId endpoint, Buffer reply) {
    try {
      return reply.toJsonObject();
    } catch (DecodeException | ClassCastException exception) {
      throw new EngineException(EngineFailure.FAILED, endpoint, "reply is not a JSON object");
    }
  }
}
