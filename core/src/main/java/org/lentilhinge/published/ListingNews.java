package org.lentilhinge.published;

import java.util.List;
import org.lentilhinge.fleet.FleetEndpoint;
import org.lentilhinge.identity.StoreRevision;
import org.lentilhinge.message.PeerMessage;

/**
 * What has changed in the listing of endpoints between two reads of the sender.
 *
 * @param revision the store's revision of the later read
 * @param digest the digest of the whole listing
 * @param changed the endpoints that are new or changed
 * @param removedIds the ids of the endpoints that are no longer listed
 */
public record ListingNews(
    StoreRevision revision, long digest, List<FleetEndpoint> changed, List<String> removedIds)
    implements PeerMessage {

  /**
   * Copies the lists.
   *
   * @param revision the revision
   * @param digest the digest
   * @param changed the changed endpoints
   * @param removedIds the removed ids
   */
  public ListingNews {
    changed = List.copyOf(changed);
    removedIds = List.copyOf(removedIds);
  }
}
