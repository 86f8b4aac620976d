package org.lentilhinge.runtime.gateway;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.Map;
import java.util.Optional;
import org.lentilhinge.configuration.Caller;
import org.lentilhinge.configuration.Configuration;

/**
 * Finds the caller that an API key belongs to. The key's digest is looked up in a hash map and then
 * compared in constant time with the digest of the caller that was found.
 */
public final class CallerAuthenticator {

  private static final String SCHEME = "Bearer ";

  private volatile CallerIndex index = new CallerIndex(null, Map.of());

  /**
   * Finds the caller of a request.
   *
   * @param configuration the applied configuration
   * @param authorization the value of the Authorization header, or null if there is none
   * @return the caller, or empty if the header is missing, malformed or carries an unknown key
   */
  public Optional<Caller> authenticate(Configuration configuration, String authorization) {
    if (authorization == null || !authorization.startsWith(SCHEME)) {
      return Optional.empty();
    }
    String digest = digest(authorization.substring(SCHEME.length()).trim());
    Caller caller = index(configuration).callers().get(digest);
    return Optional.ofNullable(caller)
        .filter(candidate -> constantTimeEquals(candidate.keyDigest(), digest));
  }

  /**
   * Computes the digest by which the configuration identifies an API key.
   *
   * @param key the API key
   * @return its SHA-256 digest in lower-case hexadecimal
   */
  public static String digest(String key) {
    try {
      MessageDigest algorithm = MessageDigest.getInstance("SHA-256");
      return HexFormat.of().formatHex(algorithm.digest(key.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException exception) {
      throw new IllegalStateException(
          "SHA-256 is not available, though every Java platform must support it", exception);
    }
  }

  private static boolean constantTimeEquals(String left, String right) {
    return MessageDigest.isEqual(
        left.getBytes(StandardCharsets.US_ASCII), right.getBytes(StandardCharsets.US_ASCII));
  }

  private CallerIndex index(Configuration configuration) {
    CallerIndex current = index;
    if (current.configuration() == configuration) {
      return current;
    }
    Map<String, Caller> callers = new HashMap<>();
    configuration.callers().values().forEach(caller -> callers.put(caller.keyDigest(), caller));
    CallerIndex updated = new CallerIndex(configuration, callers);
    index = updated;
    return updated;
  }

  private record CallerIndex(Configuration configuration, Map<String, Caller> callers) {}
}
