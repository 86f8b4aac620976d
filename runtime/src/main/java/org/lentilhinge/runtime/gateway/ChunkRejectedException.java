package org.lentilhinge.runtime.gateway;

import java.util.List;
import org.lentilhinge.attempt.AttemptCommand;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.runtime.engine.EngineChunk;

/** Thrown to end an attempt whose engine sent a chunk that cannot belong to the response. */
final class ChunkRejectedException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final transient List<AttemptCommand> commands;

  /**
   * Creates an exception.
   *
   * @param endpoint the engine
   * @param chunk the rejected chunk
   * @param commands the commands of the response stream
   */
  ChunkRejectedException(EndpointId endpoint, EngineChunk chunk, List<AttemptCommand> commands) {
    super(
        endpoint
            + ": rejected chunk at token offset "
            + chunk.offset()
            + " of model "
            + chunk.model());
    this.commands = List.copyOf(commands);
  }

  /** Returns the commands of the response stream. */
  List<AttemptCommand> commands() {
    return commands;
  }
}
