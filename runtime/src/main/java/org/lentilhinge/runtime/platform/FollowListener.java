package org.lentilhinge.runtime.platform;

import org.lentilhinge.configuration.Configuration;
import org.lentilhinge.finding.Findings;
import org.lentilhinge.follow.PublishedVersion;

/** Receives the decisions of the configuration follower. */
public interface FollowListener {

  /**
   * Called when a configuration is applied.
   *
   * @param version the published version
   * @param configuration the configuration
   * @param findings the warnings about the configuration
   */
  void onApplied(PublishedVersion version, Configuration configuration, Findings findings);

  /**
   * Called when a published text is rejected. The previously applied configuration stays in effect.
   *
   * @param version the published version
   * @param findings the reasons for the rejection
   */
  void onRejected(PublishedVersion version, Findings findings);
}
