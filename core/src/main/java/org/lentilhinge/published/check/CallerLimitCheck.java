package org.lentilhinge.published.check;

import java.util.ArrayList;
import java.util.List;
import org.lentilhinge.forward.ForwardLimits;

/** Finds limits on what callers send that contradict each other or let no request pass. */
final class CallerLimitCheck implements PublishedCheck {

  @Override
  public List<EntryFinding> check(CheckedConfiguration checked) {
    ForwardLimits limits = checked.configuration().limits();
    List<EntryFinding> findings = new ArrayList<>();
    checkPositive(limits.headerBytes(), EntryField.HEADER_LIMIT, findings);
    checkPositive(limits.headerTimeoutMillis(), EntryField.HEADER_TIMEOUT, findings);
    checkPositive(limits.idleTimeoutMillis(), EntryField.IDLE_TIMEOUT, findings);
    if (limits.bodyBytes() < limits.headerBytes()) {
      findings.add(
          EntryFinding.warning(
              "the limit of a body, "
                  + limits.bodyBytes()
                  + " bytes, is below the limit of the headers, "
                  + limits.headerBytes()
                  + " bytes",
              EntryReference.of(EntryField.BODY_LIMIT),
              EntryReference.of(EntryField.HEADER_LIMIT)));
    }
    return findings;
  }

  private static void checkPositive(long limit, EntryField field, List<EntryFinding> findings) {
    if (limit <= 0) {
      findings.add(
          EntryFinding.error(
              "expected more than 0, but the limit is " + limit, EntryReference.of(field)));
    }
  }
}
