package org.lentilhinge.forward;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** Finds the route of a request: the route of its host with the longest matching path prefix. */
public final class RouteTable {

  private final Map<String, Map<String, ForwardRoute>> routes = new HashMap<>();

  /**
   * Creates a table.
   *
   * @param routes the routes; of two with the same host and prefix, the later one applies
   */
  public RouteTable(List<ForwardRoute> routes) {
    for (ForwardRoute route : routes) {
      this.routes.computeIfAbsent(route.host(), host -> new HashMap<>()).put(route.prefix(), route);
    }
  }

  /**
   * Finds a route.
   *
   * @param hostHeader the value of the request's Host header, with or without a port
   * @param target the request's path and query
   * @return the route, or empty if none matches
   */
  public Optional<ForwardRoute> find(String hostHeader, String target) {
    Map<String, ForwardRoute> routesByPrefix = routes.get(hostName(hostHeader));
    if (routesByPrefix == null) {
      return Optional.empty();
    }
    String path = path(target);
    // Each prefix ends with a slash, so a match can only end at a slash of the path.
    for (int end = path.lastIndexOf('/'); end >= 0; end = path.lastIndexOf('/', end - 1)) {
      ForwardRoute route = routesByPrefix.get(path.substring(0, end + 1));
      if (route != null) {
        return Optional.of(route);
      }
    }
    return Optional.empty();
  }

  private static String hostName(String hostHeader) {
    int colon = hostHeader.lastIndexOf(':');
    String name = colon < 0 ? hostHeader : hostHeader.substring(0, colon);
    return name.toLowerCase(Locale.ROOT);
  }

  private static String path(String target) {
    int query = target.indexOf('?');
    return query < 0 ? target : target.substring(0, query);
  }
}
