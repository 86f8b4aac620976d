package org.lentilhinge.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests that the shares of all hosts together stay within the limit in each window. */
public class RetryBudgetShareTest {

  private static final double RATIO = 0.2;
  private static final int ADDITIONAL_RETRIES = 56;
  private static final long WINDOW_MILLIS = 10_000;

  @Test
  public void eightHostsWithoutRequestsStayWithinTheAdditionalRetries() {
    int hosts = 8;
    int[] perSecond = new int[40];
    for (int host = 0; host < hosts; host++) {
      RetryBudgetShare share = new RetryBudgetShare(RATIO, ADDITIONAL_RETRIES, WINDOW_MILLIS, 0);
      for (int second = 0; second < perSecond.length; second++) {
        while (share.trySpend(hosts, second * 1_000L)) {
          perSecond[second]++;
        }
      }
    }
    for (int from = 0; from + 10 <= perSecond.length; from++) {
      int sum = 0;
      for (int second = from; second < from + 10; second++) {
        sum += perSecond[second];
      }
      assertTrue(sum <= ADDITIONAL_RETRIES, "window at " + from + ": " + sum);
    }
  }

  @Test
  public void restartedHostHasNoRetries() {
    RetryBudgetShare share = new RetryBudgetShare(RATIO, ADDITIONAL_RETRIES, WINDOW_MILLIS, 5_000);
    assertEquals(share.trySpend(8, 5_000), false);
  }

  @Test
  public void requestsEarnRetriesBelowTheRatio() {
    RetryBudgetShare share = new RetryBudgetShare(RATIO, 0, WINDOW_MILLIS, 0);
    int spent = 0;
    for (int request = 0; request < 1_000; request++) {
      share.recordRequest();
      spent += share.trySpend(8, 0) ? 1 : 0;
    }
    assertTrue(spent <= 1_000 * RATIO, "spent " + spent);
  }
}
