package org.lentilhinge.configuration;

import org.lentilhinge.identity.AdapterId;
import org.lentilhinge.identity.AdapterVersion;
import org.lentilhinge.identity.BaseModelId;

/**
 * The declaration of an adapter.
 *
 * @param id the adapter's identifier
 * @param baseModel the base model that it was trained on
 * @param activeVersion the version that new requests run on unless their rule names another version
 * @param sizeBytes the size of its weights in bytes
 */
public record Adapter(AdapterId id, BaseModelId baseModel, int activeVersion, long sizeBytes) {

  /**
   * Returns the active version.
   *
   * @return the identifier of the adapter together with its active version
   */
  public AdapterVersion activeAdapterVersion() {
    return new AdapterVersion(id, activeVersion);
  }
}
