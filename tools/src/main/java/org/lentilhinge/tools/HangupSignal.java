package org.lentilhinge.tools;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;

/**
 * Handles SIGHUP, which terminates the JVM by default. The class {@code sun.misc.Signal} is
 * exported, but not part of the API of the Java platform, and is therefore accessed by reflection.
 */
final class HangupSignal {

  private HangupSignal() {}

  /**
   * Runs an action on each SIGHUP.
   *
   * @param action the action
   * @throws IllegalStateException if this JVM does not support the signal
   */
  static void handle(Runnable action) {
    try {
      Class<?> signal = Class.forName("sun.misc.Signal");
      Class<?> handler = Class.forName("sun.misc.SignalHandler");
      InvocationHandler invocation =
          (proxy, method, arguments) -> {
            if (method.getName().equals("handle")) {
              action.run();
            }
            return null;
          };
      Object proxy =
          Proxy.newProxyInstance(
              HangupSignal.class.getClassLoader(), new Class<?>[] {handler}, invocation);
      Object hangup = signal.getConstructor(String.class).newInstance("HUP");
      signal.getMethod("handle", signal, handler).invoke(null, hangup, proxy);
    } catch (ReflectiveOperationException exception) {
      throw new IllegalStateException("cannot install a handler for SIGHUP", exception);
    }
  }
}
