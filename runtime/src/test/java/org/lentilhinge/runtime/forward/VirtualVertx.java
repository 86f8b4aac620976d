package org.lentilhinge.runtime.forward;

import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;
import java.util.function.BiConsumer;

/** Timers of one host in virtual time. Everything else that Vert.x offers fails. */
final class VirtualVertx {

  private VirtualVertx() {}

  /**
   * Creates an instance.
   *
   * @param scheduler runs a task on the host's event loop after a delay in milliseconds
   */
  static Vertx create(BiConsumer<Long, Runnable> scheduler) {
    InvocationHandler handler =
        (proxy, method, arguments) -> {
          switch (method.getName()) {
            case "setTimer" -> {
              Handler<?> task = (Handler<?>) arguments[1];
              scheduler.accept((Long) arguments[0], () -> task.handle(null));
              return 0L;
            }
            case "toString" -> {
              return "virtual time";
            }
            default -> throw new UnsupportedOperationException(method.getName());
          }
        };
    return (Vertx)
        Proxy.newProxyInstance(
            VirtualVertx.class.getClassLoader(), new Class<?>[] {Vertx.class}, handler);
  }
}
