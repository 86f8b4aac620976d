package org.lentilhinge.configuration;

import java.util.Optional;
import java.util.regex.Pattern;
import org.lentilhinge.identity.CallerId;

/** Reads the section {@code [caller NAME]}, which declares a caller. */
final class CallerReader implements SectionReader {

  private static final Pattern DIGEST = Pattern.compile("[0-9a-f]{64}");
  private static final int MAXIMUM_SHARE = 1_000;
  private static final int MAXIMUM_CONCURRENT = 100_000;
  private static final int DEFAULT_CONCURRENT = 64;

  @Override
  public void read(EntrySection section, ConfigurationDraft draft) {
    Optional<CallerId> id = section.parseName(section.place(), section.label(), CallerId::new);
    String digest = section.text("key-digest");
    if (!digest.isEmpty() && !DIGEST.matcher(digest).matches()) {
      section.error(
          section.placeOf("key-digest"),
          "the digest is not 64 hexadecimal digits in lower case (SHA-256 of the API key)");
    }
    draft.recordUnique(section, section.placeOf("key-digest"), "key digest", digest);
    int share = (int) section.number("share", 1, MAXIMUM_SHARE, 1);
    int concurrent =
        (int) section.number("maximum-concurrent", 1, MAXIMUM_CONCURRENT, DEFAULT_CONCURRENT);
    id.ifPresent(name -> draft.callers().put(name, new Caller(name, digest, share, concurrent)));
  }
}
