package org.lentilhinge.runtime.decision;

import java.util.Optional;
import java.util.OptionalLong;
import org.lentilhinge.identity.AdapterVersion;

/**
 * Formats a decision as {@code key=value} pairs in a fixed order. An absent attribute is written as
 * a hyphen. The reason is enclosed in double quotes; quotes and backslashes in it are escaped, and
 * control characters are replaced by spaces so that a reason cannot forge another line.
 */
public final class KeyValueFormat implements DecisionFormat {

  private static final String ABSENT = "-";

  @Override
  public String render(Decision decision) {
    return "decision="
        + decision.kind().label()
        + " request="
        + text(decision.request())
        + " caller="
        + text(decision.caller())
        + " adapter="
        + text(decision.adapter().map(AdapterVersion::adapter))
        + " version="
        + text(decision.adapter().map(AdapterVersion::number))
        + " endpoint="
        + text(decision.endpoint())
        + " reason="
        + quote(decision.reason())
        + " wait="
        + millis(decision.waitMillis());
  }

  private static String text(Optional<?> value) {
    return value.map(Object::toString).orElse(ABSENT);
  }

  private static String millis(OptionalLong value) {
    return value.isPresent() ? value.getAsLong() + "ms" : ABSENT;
  }

  private static String quote(String value) {
    String escaped = value.replace("\\", "\\\\").replace("\"", "\\\"");
    return "\"" + escaped.replaceAll("\\p{Cntrl}", " ") + "\"";
  }
}
