package org.lentilhinge.permit;

import java.util.List;

/**
 * The result of recovering permits that have ended without being returned.
 *
 * @param commands the commands to carry out
 * @param permits the number of recovered permits
 */
public record PermitRecovery(List<EngineCommand> commands, int permits) {

  /**
   * Copies the list.
   *
   * @param commands the commands
   * @param permits the number of permits
   */
  public PermitRecovery {
    commands = List.copyOf(commands);
  }
}
