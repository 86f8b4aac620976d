package org.lentilhinge.configuration;

import java.util.List;
import java.util.OptionalInt;
import org.lentilhinge.identity.AdapterId;
import org.lentilhinge.identity.CallerId;

/**
 * A rule that routes requests of a caller to an adapter. The first of the caller's rules whose
 * conditions all hold applies.
 *
 * @param name the rule's name, which the decision log contains
 * @param caller the caller
 * @param conditions the conditions, which must all hold; a rule without conditions matches any
 *     request
 * @param adapter the adapter that matching requests run on
 * @param version the adapter version that they run on, or empty for the adapter's active version
 * @param urgency the urgency of matching requests
 */
public record Rule(
    String name,
    CallerId caller,
    List<Condition> conditions,
    AdapterId adapter,
    OptionalInt version,
    Urgency urgency) {

  /**
   * Creates a rule with a copy of the conditions.
   *
   * @param name the rule's name
   * @param caller the caller
   * @param conditions the conditions
   * @param adapter the adapter
   * @param version the version, or empty
   * @param urgency the urgency
   */
  public Rule {
    conditions = List.copyOf(conditions);
  }
}
