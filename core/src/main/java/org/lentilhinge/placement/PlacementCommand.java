package org.lentilhinge.placement;

import org.lentilhinge.identity.AdapterVersion;
import org.lentilhinge.identity.HostId;

/** A command that the owner of an engine carries out. */
public sealed interface PlacementCommand {

  /**
   * Returns the version that the command concerns.
   *
   * @return the version
   */
  AdapterVersion version();

  /**
   * Orders the engine to load a version.
   *
   * @param version the version
   * @param reason the reason, for the decision log
   */
  record StartLoad(AdapterVersion version, PlacementReason reason) implements PlacementCommand {}

  /**
   * Orders the engine to unload a version.
   *
   * @param version the version
   * @param reason the reason, for the decision log
   */
  record StartUnload(AdapterVersion version, PlacementReason reason) implements PlacementCommand {}

  /**
   * Permits a gateway to use a resident version.
   *
   * @param gateway the gateway
   * @param version the version
   */
  record Permit(HostId gateway, AdapterVersion version) implements PlacementCommand {}

  /**
   * Notifies a gateway that the version will not be loaded for it on this engine.
   *
   * @param gateway the gateway
   * @param version the version
   * @param reason the reason
   * @param retryAfterMillis the time after which a load may be requested again, in milliseconds
   */
  record Decline(
      HostId gateway, AdapterVersion version, DeclineReason reason, long retryAfterMillis)
      implements PlacementCommand {}
}
