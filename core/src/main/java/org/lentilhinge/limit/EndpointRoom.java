package org.lentilhinge.limit;

import java.util.HashMap;
import java.util.Map;

/**
 * Bounds the requests that run at a brittle plain endpoint, on the host that issues the permits for
 * it. No more requests are sent than the endpoint executes at the same time, as it may let none
 * wait. Each refusal lowers the bound below the number of requests that were running; it grows
 * again slowly, because only further refusals show that it has grown too far.
 */
public final class EndpointRoom {

  /** The interval at which the bound grows by one request, in milliseconds. */
  private static final long GROWTH_INTERVAL_MILLIS = 5_000;

  private final Map<String, Long> expiresAtMillis = new HashMap<>();
  private final int slots;
  private int capacity;
  private long nextGrowthAtMillis;

  /**
   * Creates the room of an endpoint to which no permits were issued.
   *
   * @param slots the number of requests that the endpoint executes at the same time; at least 1
   */
  public EndpointRoom(int slots) {
    this.slots = slots;
    this.capacity = slots;
  }

  /**
   * Issues a permit if there is room.
   *
   * @param host the host that sends the request
   * @param permitId the id of its permit request
   * @param maximumMillis the time after which the request has ended if nothing is heard of it, in
   *     milliseconds
   * @param nowMillis the current time, in milliseconds
   * @return whether the request may be sent now
   */
  public boolean tryTake(String host, long permitId, long maximumMillis, long nowMillis) {
    expiresAtMillis.values().removeIf(expiry -> expiry <= nowMillis);
    if (capacity < slots && nowMillis >= nextGrowthAtMillis) {
      capacity++;
      nextGrowthAtMillis = nowMillis + GROWTH_INTERVAL_MILLIS;
    }
    if (expiresAtMillis.size() >= capacity) {
      return false;
    }
    expiresAtMillis.put(key(host, permitId), nowMillis + maximumMillis);
    return true;
  }

  /**
   * Records the end of a request.
   *
   * @param host the host that sent it
   * @param permitId the id of its permit request
   * @param refused whether the endpoint refused it
   * @param nowMillis the current time, in milliseconds
   * @return whether this room had issued the permit
   */
  public boolean release(String host, long permitId, boolean refused, long nowMillis) {
    if (expiresAtMillis.remove(key(host, permitId)) == null) {
      return false;
    }
    if (refused) {
      capacity = Math.max(1, Math.min(capacity - 1, expiresAtMillis.size()));
      nextGrowthAtMillis = nowMillis + GROWTH_INTERVAL_MILLIS;
    }
    return true;
  }

  /**
   * Records the end of all requests of a host that failed.
   *
   * @param host the host
   */
  public void removeHost(String host) {
    expiresAtMillis.keySet().removeIf(key -> key.startsWith(host + '#'));
  }

  private static String key(String host, long permitId) {
    return host + '#' + permitId;
  }
}
