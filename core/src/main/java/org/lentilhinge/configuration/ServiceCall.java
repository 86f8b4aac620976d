package org.lentilhinge.configuration;

/**
 * A declaration of whether certain calls of a plain service may be repeated.
 *
 * @param method the HTTP method, in upper case
 * @param pathPrefix the prefix of the paths that the declaration applies to, beginning with a slash
 * @param repeatable whether executing such a call twice has the same effect as executing it once
 */
public record ServiceCall(String method, String pathPrefix, boolean repeatable) {

  /**
   * Indicates whether the declaration applies to a call.
   *
   * @param calledMethod the call's HTTP method, in upper case
   * @param path the call's path, beginning with a slash
   * @return whether method and path match
   */
  public boolean matches(String calledMethod, String path) {
    return method.equals(calledMethod) && path.startsWith(pathPrefix);
  }
}
