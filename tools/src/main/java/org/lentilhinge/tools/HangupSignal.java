package org.lentilhinge.tools;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;

/**
 * Hears SIGHUP, on which the JVM ends if it is left to itself. The class for it, {@code
 * sun.misc.Signal}, is exported but not part of the Java platform's own interface, so that it is
 * reached by reflection.
 */
final class HangupSignal {

  private HangupSignal() {}

  /**
   * Runs an action on each SIGHUP.
   *
   * @param action the action
   * @throws IllegalStateException if this JVM has no such signals
   */
  static void handle(Runnable action) {
    try {
      Class<?> signal = Class.forName("sun.misc.Signal");
      Class<?> handler = Class.forName("sun.misc.SignalHandler");
      InvocationHandler invoked =
          (proxy, method, arguments) -> {
            if (method.getName().equals("handle")) {
              action.run();
            }
            return null;
          };
      Object proxy =
          Proxy.newProxyInstance(
              HangupSignal.class.getClassLoader(), new Class<?>[] {handler}, invoked);
      Object hangup = signal.getConstructor(String.class).newInstance("HUP");
      signal.getMethod("handle", signal, handler).invoke(null, hangup, proxy);
    } catch (ReflectiveOperationException exception) {
      throw new IllegalStateException("cannot hear SIGHUP", exception);
    }
  }
}
