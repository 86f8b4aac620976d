package org.lentilhinge.follow;

import static org.testng.Assert.assertTrue;

import java.util.List;
import org.lentilhinge.identity.HostId;
import org.testng.Reporter;
import org.testng.annotations.Test;

/**
 * Measures, in virtual time, how long a change takes to reach all hosts and how many service calls
 * it causes, at the current and at the target size.
 */
public class FollowMeasurementTest {

  private static final int CALLS_PER_SECOND = 2_000;
  private static final long CURRENT_BOUND_MILLIS = 5_000;
  private static final long TARGET_BOUND_MILLIS = 14_000;
  private static final long HOUR_MILLIS = 3_600_000;
  private static final long SEED = 7;

  @Test
  public void appliesChangeWithinBoundAtCurrentSize() {
    FollowNetwork network = network(new RendezvousReaderSelector(2), 3, 8);
    measureChange("current size, 8 hosts in 3 zones", network, CURRENT_BOUND_MILLIS);
  }

  @Test
  public void appliesChangeWithinBoundAtTargetSize() {
    FollowNetwork network = network(new RendezvousReaderSelector(3), 19, 420);
    measureChange("target size, 420 hosts in 19 zones", network, TARGET_BOUND_MILLIS);
  }

  @Test
  public void limitsCallsOfIsolatedReadersWhenServiceReturns() {
    // Hosts that are isolated from each other all select themselves as readers.
    FollowNetwork network = network((host, hosts) -> true, 420, 420);
    network.publish(FollowTexts.complete(1));
    network.advanceUntilAll(1, TARGET_BOUND_MILLIS);
    network.failService();
    network.advance(HOUR_MILLIS);
    int maximumWhileDown = network.maximumCallsInOneSecond(0);
    long returnedAtMillis = network.nowMillis;
    network.serviceDown = false;
    network.publish(FollowTexts.complete(2));
    long appliedAfterMillis = network.advanceUntilAll(2, TARGET_BOUND_MILLIS);
    network.advance(TARGET_BOUND_MILLIS);
    int maximumAfterReturn = network.maximumCallsInOneSecond(returnedAtMillis);
    Reporter.log(
        "420 isolated readers: maximum calls in one second "
            + maximumWhileDown
            + " until the service returns, "
            + maximumAfterReturn
            + " afterwards; applied on all hosts after "
            + appliedAfterMillis
            + " ms",
        true);
    assertTrue(
        Math.max(maximumWhileDown, maximumAfterReturn) <= CALLS_PER_SECOND,
        "calls in one second: " + maximumAfterReturn);
    assertTrue(appliedAfterMillis >= 0, "not applied on all hosts");
  }

  private static void measureChange(String name, FollowNetwork network, long boundMillis) {
    List<String> parts = FollowTexts.parts(64);
    parts.forEach(network::publishPart);
    network.publish(FollowTexts.manifest(1, parts));
    long initialMillis = network.advanceUntilAll(1, 10 * boundMillis);
    network.advance(60_000);
    long bytesBefore = network.partBytes;
    long startedAtMillis = network.nowMillis;
    parts.set(3, FollowTexts.part(3, 2));
    network.publishPart(parts.get(3));
    network.publish(FollowTexts.manifest(2, parts));
    long appliedAfterMillis = network.advanceUntilAll(2, boundMillis);
    Reporter.log(
        name
            + ": first 64 parts applied after "
            + initialMillis
            + " ms; one change applied on all hosts after "
            + appliedAfterMillis
            + " ms, maximum calls in one second "
            + network.maximumCallsInOneSecond(startedAtMillis)
            + ", bytes between peers per host "
            + (network.partBytes - bytesBefore) / network.followers.size(),
        true);
    assertTrue(
        appliedAfterMillis >= 0 && appliedAfterMillis <= boundMillis,
        "applied after " + appliedAfterMillis + " ms");
    assertTrue(network.maximumCallsInOneSecond(0) <= CALLS_PER_SECOND);
  }

  private static FollowNetwork network(ReaderSelector readerSelector, int zones, int hosts) {
    FollowNetwork network = new FollowNetwork(readerSelector, SEED);
    for (int number = 0; number < hosts; number++) {
      network.start(new HostId("zone" + number % zones + "-host" + number));
    }
    return network;
  }
}
