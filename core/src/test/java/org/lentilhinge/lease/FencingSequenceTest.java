package org.lentilhinge.lease;

import static org.testng.Assert.assertEquals;

import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.FencingNumber;
import org.lentilhinge.identity.HostId;
import org.testng.annotations.Test;

/** Tests the fencing tokens of an owner's orders. */
public class FencingSequenceTest {

  private static final EndpointId ENDPOINT = new EndpointId("engine");
  private static final HostId OTHER = new HostId("other");

  private final FencingSequence sequence = new FencingSequence(new HostId("self"));

  @Test
  public void startsAboveTheReportedNumber() {
    sequence.onReported(ENDPOINT, new FencingNumber(7, OTHER));
    sequence.begin(ENDPOINT);
    assertEquals(sequence.number(ENDPOINT).counter(), 8);
  }

  @Test
  public void raisesItsFirstNumberAndStepsDownAfterAcceptance() {
    EndpointId endpoint = new EndpointId("unreported");
    sequence.begin(endpoint);
    FencingNumber first = sequence.number(endpoint);
    FencingNumber higher = new FencingNumber(20, OTHER);
    assertEquals(sequence.onRefused(endpoint, first, higher), FencingVerdict.RETRY);
    FencingNumber second = sequence.number(endpoint);
    assertEquals(second.counter(), 21);
    sequence.onAccepted(endpoint, second);
    FencingNumber later = new FencingNumber(22, OTHER);
    assertEquals(sequence.onRefused(endpoint, second, later), FencingVerdict.STEP_DOWN);
  }
}
