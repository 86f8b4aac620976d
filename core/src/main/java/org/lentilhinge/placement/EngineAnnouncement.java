package org.lentilhinge.placement;

import java.util.Set;
import org.lentilhinge.identity.AdapterVersion;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.message.PeerMessage;

/**
 * Announces the state of an engine from its owner to the gateways. An owner sends a complete
 * announcement after a takeover and when a gateway missed one, and otherwise only the changes.
 *
 * @param endpoint the engine
 * @param epoch the counter of the owner's fencing token; announcements with a lower epoch are stale
 * @param sequence the announcement's number within the epoch, which rises by one with each change
 *     of the content
 * @param complete whether all resident versions are listed, not only the changes
 * @param added the versions that are resident; all of them if complete, otherwise the new ones
 * @param removed the versions that are no longer resident; empty if complete
 * @param loading the versions that are being loaded, all of them
 * @param running the number of requests that the engine runs
 * @param queued the number of requests that wait on the engine
 * @param awaitingLoad the number of requests that wait for a load on the engine
 * @param loadWaitMillis how long a further load is expected to wait for the store, in milliseconds
 * @param leaving whether the engine accepts no new requests
 */
public record EngineAnnouncement(
    EndpointId endpoint,
    long epoch,
    long sequence,
    boolean complete,
    Set<AdapterVersion> added,
    Set<AdapterVersion> removed,
    Set<AdapterVersion> loading,
    int running,
    int queued,
    int awaitingLoad,
    long loadWaitMillis,
    boolean leaving)
    implements PeerMessage {

  /**
   * Copies the sets.
   *
   * @param endpoint the engine
   * @param epoch the counter of the owner's fencing token
   * @param sequence the announcement's number
   * @param complete whether all resident versions are listed
   * @param added the resident versions
   * @param removed the versions no longer resident
   * @param loading the versions being loaded
   * @param running the running requests
   * @param queued the queued requests
   * @param awaitingLoad the requests that wait for a load
   * @param loadWaitMillis the expected wait for the store
   * @param leaving whether the engine accepts no new requests
   */
  public EngineAnnouncement {
    added = Set.copyOf(added);
    removed = Set.copyOf(removed);
    loading = Set.copyOf(loading);
  }
}
