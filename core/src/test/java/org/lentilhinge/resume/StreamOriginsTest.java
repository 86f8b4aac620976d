package org.lentilhinge.resume;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Optional;
import org.testng.annotations.Test;

/** Tests which origins of streams are kept, and for how long. */
public class StreamOriginsTest {

  private static final int MANY = 20_000;

  private final StreamOrigins origins = new StreamOrigins(1_000);

  private static StreamOrigin origin(String id, String version) {
    return new StreamOrigin(id, "s", version);
  }

  @Test
  public void firstVersionOfStreamStays() {
    origins.record(origin("a", "v1"), false, 0);
    origins.record(origin("a", "v2"), true, 10);
    assertEquals(origins.find("a"), Optional.of("v1"));
  }

  @Test
  public void originExpiresAfterItsLatestUse() {
    origins.record(origin("b", "v1"), true, 0);
    origins.record(origin("b", "v1"), true, 900);
    origins.record(origin("c", "v1"), true, 1_500);
    assertEquals(origins.find("b"), Optional.of("v1"));
    origins.record(origin("c", "v1"), true, 2_000);
    assertEquals(origins.find("b"), Optional.empty());
  }

  @Test
  public void onlyRecentOriginsOfThisHostAreShared() {
    StreamOrigins known = new StreamOrigins(10_000);
    known.record(origin("old", "v1"), true, 0);
    known.record(origin("copy", "v1"), false, 500);
    known.record(origin("new", "v1"), true, 600);
    assertEquals(known.own("s", 400), List.of(origin("new", "v1")));
    assertEquals(known.own("other", 400), List.of());
  }

  // Callers choose the ids of their requests.
  @Test
  public void memoryIsBounded() {
    StreamOrigins known = new StreamOrigins(10_000);
    known.record(origin("x".repeat(129), "v1"), true, 0);
    assertEquals(known.find("x".repeat(129)), Optional.empty());
    for (int stream = 0; stream < MANY; stream++) {
      known.record(origin("s" + stream, "v1"), true, 0);
    }
    assertEquals(known.find("s0"), Optional.empty());
    assertEquals(known.find("s" + (MANY - 1)), Optional.of("v1"));
    assertEquals(known.own("s", 0).size(), 16_384);
  }
}
