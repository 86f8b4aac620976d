package org.lentilhinge.runtime.host;

import com.google.common.flogger.FluentLogger;
import io.vertx.core.Context;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.lentilhinge.host.EntryHost;
import org.lentilhinge.host.HostCommand;
import org.lentilhinge.host.HostEvent;

/**
 * Processes the events of an entry host one at a time on its Vert.x context, and passes the
 * resulting commands to a handler.
 */
final class HostEventLoop {

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  private final EntryHost host;
  private final Context context;
  private final LongSupplier monotonicMillis;
  private final LongSupplier wallMillis;
  private final Deque<HostEvent> events = new ArrayDeque<>();
  private Consumer<HostCommand> commandHandler = command -> {};
  private boolean processing;

  HostEventLoop(
      EntryHost host, Context context, LongSupplier monotonicMillis, LongSupplier wallMillis) {
    this.host = host;
    this.context = context;
    this.monotonicMillis = monotonicMillis;
    this.wallMillis = wallMillis;
  }

  /** Sets the handler that executes the commands. Must be called once, before the first event. */
  void setCommandHandler(Consumer<HostCommand> handler) {
    commandHandler = handler;
  }

  EntryHost host() {
    return host;
  }

  long nowMillis() {
    return monotonicMillis.getAsLong();
  }

  /**
   * Runs an action and logs any exception, so that a failure to handle one event does not terminate
   * the streams and timers that deliver further events.
   */
  void guard(String description, Runnable action) {
    try {
      action.run();
    } catch (RuntimeException failure) {
      LOGGER.atSevere().withCause(failure).log("failed to handle %s", description);
    }
  }

  private void apply(HostEvent event) {
    List<HostCommand> commands = host.handle(event, nowMillis(), wallMillis.getAsLong());
    commands.forEach(commandHandler);
  }

  /** Runs an action asynchronously on the context. */
  void run(Runnable action) {
    context.runOnContext(ignored -> action.run());
  }

  /** Submits an event from any thread. */
  void post(HostEvent event) {
    run(() -> process(event));
  }

  /**
   * Processes an event; must be called on the context. An event submitted while another is being
   * processed is queued.
   */
  void process(HostEvent event) {
    events.addLast(event);
    if (processing) {
      return;
    }
    processing = true;
    try {
      while (!events.isEmpty()) {
        HostEvent next = events.removeFirst();
        guard(next.getClass().getSimpleName(), () -> apply(next));
      }
    } finally {
      processing = false;
    }
  }
}
