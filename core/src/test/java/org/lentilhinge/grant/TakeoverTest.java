package org.lentilhinge.grant;

import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.lentilhinge.configuration.FencingSupport;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.identity.HostIncarnation;
import org.lentilhinge.lease.LeaseSettings;
import org.testng.Reporter;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Measures in simulated time how long an endpoint has no owner after its owner has stopped. */
public class TakeoverTest {

  private static final int SEEDS = 40;
  private static final long WARM_UP_MILLIS = 30_000;
  private static final long STEP_MILLIS = 50;
  private static final long TICK_MILLIS = 500;

  @DataProvider
  public Object[][] stops() {
    return new Object[][] {
      {3, FencingSupport.CHECKED, false},
      {3, FencingSupport.IGNORED, false},
      {3, FencingSupport.CHECKED, true},
      {2, FencingSupport.CHECKED, true},
      {3, FencingSupport.IGNORED, true}
    };
  }

  @Test(dataProvider = "stops")
  public void takesOverInTime(int hosts, FencingSupport fencing, boolean planned) {
    List<Long> times = new ArrayList<>();
    for (long seed = 1; seed <= SEEDS; seed++) {
      times.add(takeoverMillis(seed, hosts, fencing, planned));
    }
    Collections.sort(times);
    Reporter.log(
        String.format(
            "%d hosts, fencing %s, %s: takeover after %d to %d ms, median %d ms",
            hosts,
            fencing,
            planned ? "planned stop" : "failure",
            times.get(0),
            times.get(SEEDS - 1),
            times.get(SEEDS / 2)),
        true);
    assertTrue(
        times.get(SEEDS - 1) <= maximumTakeoverMillis(fencing, planned),
        "takeover times in ms: " + times);
  }

  /** Returns the sum of the delays that can follow one another. */
  private static long maximumTakeoverMillis(FencingSupport fencing, boolean planned) {
    LeaseSettings settings = LeaseSettings.defaults();
    long expiryMillis = planned ? 0 : settings.leaseMillis();
    long orderDelayMillis =
        fencing == FencingSupport.IGNORED
            ? settings.leaseMillis() + settings.maximumOrderTransitMillis()
            : 0;
    return expiryMillis + settings.retryIntervalMillis() + 2 * TICK_MILLIS + orderDelayMillis;
  }

  private static long takeoverMillis(
      long seed, int hosts, FencingSupport fencing, boolean planned) {
    VirtualNetwork network = new VirtualNetwork(seed);
    EndpointId endpoint = network.addEngine("engine", fencing).id;
    List<HostId> listed = new ArrayList<>();
    for (int index = 0; index < hosts; index++) {
      listed.add(network.start("host-" + index).self.host());
    }
    network.deliverList(listed);
    network.runUntil(WARM_UP_MILLIS + network.random.nextInt(5_000));
    HostIncarnation former = network.hostsThatMayOrder(endpoint).get(0);
    VirtualHost owner = network.hosts.get(former.host());
    if (planned) {
      owner.leave();
    } else {
      network.kill(owner);
    }
    long stoppedAtMillis = network.nowMillis();
    while (network.hostsThatMayOrder(endpoint).isEmpty()) {
      network.runUntil(network.nowMillis() + STEP_MILLIS);
    }
    return network.nowMillis() - stoppedAtMillis;
  }
}
