package org.lentilhinge.emulator.engine;

import java.util.List;
import org.lentilhinge.identity.AdapterVersion;

/**
 * Generates the text of completions. The text depends on the adapter version and the prompt only,
 * so that tests detect a response of the wrong adapter, version or prompt and can compare a resumed
 * response with an uninterrupted one.
 */
public final class GeneratedText {

  private static final List<String> WORDS =
      List.of(
          "joint",
          "crack",
          "slope",
          "lateral",
          "gasket",
          "dimmer",
          "flicker",
          "ballast",
          "manhole",
          "survey",
          "driver",
          "phase",
          "grout",
          "liner",
          "lamp",
          "trailing");
  private static final int MINIMUM_TOKENS = 8;
  private static final int LENGTH_SPREAD_TOKENS = 17;

  private GeneratedText() {}

  /**
   * Generates one token.
   *
   * @param adapter the adapter version that generates the response
   * @param prompt the prompt
   * @param index the token's position in the response, from 0
   * @return the token's text
   */
  public static String token(AdapterVersion adapter, String prompt, int index) {
    if (index == 0) {
      return "[" + adapter + "]";
    }
    int hash = mix(seed(adapter, prompt) + index * 0x9E3779B9);
    return " " + WORDS.get(Math.floorMod(hash, WORDS.size()));
  }

  /**
   * Returns the natural length of a response, before {@code min_tokens} and {@code max_tokens}.
   *
   * @param adapter the adapter version that generates the response
   * @param prompt the prompt
   * @return the number of tokens
   */
  public static int length(AdapterVersion adapter, String prompt) {
    return MINIMUM_TOKENS + Math.floorMod(mix(seed(adapter, prompt)), LENGTH_SPREAD_TOKENS);
  }

  /**
   * Generates the first tokens of a response.
   *
   * @param adapter the adapter version that generates the response
   * @param prompt the prompt
   * @param tokens the number of tokens
   * @return the text
   */
  public static String firstTokens(AdapterVersion adapter, String prompt, int tokens) {
    StringBuilder text = new StringBuilder();
    for (int index = 0; index < tokens; index++) {
      text.append(token(adapter, prompt, index));
    }
    return text.toString();
  }

  private static int seed(AdapterVersion adapter, String prompt) {
    return adapter.toString().hashCode() * 31 + prompt.hashCode();
  }

  private static int mix(int value) {
    int mixed = (value ^ (value >>> 16)) * 0x85EBCA6B;
    mixed = (mixed ^ (mixed >>> 13)) * 0xC2B2AE35;
    return mixed ^ (mixed >>> 16);
  }
}
