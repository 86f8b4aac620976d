package org.lentilhinge.runtime.engine;

import io.reactivex.rxjava3.core.Flowable;
import java.util.function.BooleanSupplier;
import org.reactivestreams.Subscriber;

/** Streams the response of an attempt. Each subscription sends the request once. */
final class EngineStream extends Flowable<EngineChunk> {

  private final EngineTransport transport;
  private final EngineRequest request;
  private final BooleanSupplier mayWrite;

  EngineStream(EngineTransport transport, EngineRequest request, BooleanSupplier mayWrite) {
    this.transport = transport;
    this.request = request;
    this.mayWrite = mayWrite;
  }

  @Override
  protected void subscribeActual(Subscriber<? super EngineChunk> subscriber) {
    EngineStreamSubscription subscription =
        new EngineStreamSubscription(transport, request, mayWrite, subscriber);
    subscriber.onSubscribe(subscription);
    subscription.start();
  }
}
