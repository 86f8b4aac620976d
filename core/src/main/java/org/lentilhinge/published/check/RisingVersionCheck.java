package org.lentilhinge.published.check;

import java.util.List;
import org.lentilhinge.identity.DeclaredVersion;

/** Finds a version that does not rise above the version in force. */
final class RisingVersionCheck implements PublishedCheck {

  private final DeclaredVersion versionInForce;

  RisingVersionCheck(DeclaredVersion versionInForce) {
    this.versionInForce = versionInForce;
  }

  @Override
  public List<EntryFinding> check(CheckedConfiguration checked) {
    DeclaredVersion version = checked.configuration().version();
    // Where the versions were declared is not known from files, so that the numbers alone count.
    if (version.number() > versionInForce.number()) {
      return List.of();
    }
    return List.of(
        EntryFinding.error(
            "the version "
                + version
                + " does not rise above the version in force, "
                + versionInForce,
            EntryReference.of(EntryField.VERSION)));
  }
}
