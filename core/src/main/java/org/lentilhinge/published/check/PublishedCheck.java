package org.lentilhinge.published.check;

import java.util.List;

/** A check of a published configuration for one kind of problem. */
interface PublishedCheck {

  /**
   * Checks a configuration.
   *
   * @param checked the configuration
   * @return the findings
   */
  List<EntryFinding> check(CheckedConfiguration checked);
}
