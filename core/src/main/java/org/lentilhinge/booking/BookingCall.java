package org.lentilhinge.booking;

/**
 * The HTTP request that is sent to a service.
 *
 * @param method the HTTP method, in upper case
 * @param path the path with its query, beginning with a slash
 * @param contentType the media type of the body, or empty if there is no body
 * @param body the body
 */
public record BookingCall(String method, String path, String contentType, byte[] body) {

  private static final long FNV_PRIME = 1_099_511_628_211L;
  private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;

  /**
   * Returns a digest of the call, which detects a key that is reused with another call.
   *
   * @return a 64-bit FNV-1a digest of all components
   */
  public long fingerprint() {
    long digest = FNV_OFFSET_BASIS;
    digest = mix(digest, method);
    digest = mix(digest, path);
    digest = mix(digest, contentType);
    for (byte value : body) {
      digest = (digest ^ (value & 0xff)) * FNV_PRIME;
    }
    return digest;
  }

  private static long mix(long digest, String text) {
    long mixed = digest;
    for (int index = 0; index < text.length(); index++) {
      mixed = (mixed ^ text.charAt(index)) * FNV_PRIME;
    }
    return (mixed ^ 0xffff) * FNV_PRIME;
  }
}
