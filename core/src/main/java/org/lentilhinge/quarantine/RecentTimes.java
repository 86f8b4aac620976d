package org.lentilhinge.quarantine;

import java.util.LinkedHashMap;
import java.util.Map;

/** Times by name; the least recently used one is removed when there are too many. */
final class RecentTimes extends LinkedHashMap<String, Long> {

  private static final long serialVersionUID = 1;

  private final int maximumSize;

  RecentTimes(int maximumSize) {
    super(16, 0.75f, true);
    this.maximumSize = maximumSize;
  }

  @Override
  protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
    return size() > maximumSize;
  }
}
