package org.lentilhinge.lease;

import static org.testng.Assert.assertEquals;

import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.FencingToken;
import org.lentilhinge.identity.HostId;
import org.testng.annotations.Test;

/** Tests the fencing tokens of an owner's orders. */
public class FencingSequenceTest {

  private static final EndpointId ENDPOINT = new EndpointId("engine");
  private static final HostId OTHER = new HostId("other");

  private final FencingSequence sequence = new FencingSequence(new HostId("self"));

  @Test
  public void startsAboveTheReportedToken() {
    sequence.onReported(ENDPOINT, new FencingToken(7, OTHER));
    sequence.beginTerm(ENDPOINT);
    assertEquals(sequence.token(ENDPOINT).counter(), 8);
  }

  @Test
  public void raisesItsFirstTokenAndReleasesAfterAcceptance() {
    EndpointId endpoint = new EndpointId("unreported");
    sequence.beginTerm(endpoint);
    FencingToken first = sequence.token(endpoint);
    FencingToken higher = new FencingToken(20, OTHER);
    assertEquals(sequence.onRefused(endpoint, first, higher), FencingRefusalAction.RETRY);
    FencingToken second = sequence.token(endpoint);
    assertEquals(second.counter(), 21);
    sequence.onAccepted(endpoint, second);
    FencingToken later = new FencingToken(22, OTHER);
    assertEquals(sequence.onRefused(endpoint, second, later), FencingRefusalAction.STEP_DOWN);
  }
}
