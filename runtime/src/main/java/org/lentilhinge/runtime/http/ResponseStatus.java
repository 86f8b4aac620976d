package org.lentilhinge.runtime.http;

import java.util.regex.Pattern;

/**
 * Decides which statuses of responses are valid. Failing servers have sent responses with the
 * status 000, which clients took for responses to their requests.
 */
public final class ResponseStatus {

  private static final Pattern VALID = Pattern.compile("[1-5][0-9]{2}");
  private static final int LOWEST_FINAL = 200;
  private static final int HIGHEST = 599;

  private ResponseStatus() {}

  /**
   * Indicates whether the status in a status line is valid.
   *
   * @param text the text between the version and the reason phrase
   * @return whether the text consists of three digits and is a number from 100 to 599
   */
  public static boolean isValid(String text) {
    return VALID.matcher(text).matches();
  }

  /**
   * Indicates whether a status that was already parsed may be that of a final response.
   *
   * @param status the status
   * @return whether the status is from 200 to 599
   */
  public static boolean isFinal(int status) {
    return status >= LOWEST_FINAL && status <= HIGHEST;
  }
}
