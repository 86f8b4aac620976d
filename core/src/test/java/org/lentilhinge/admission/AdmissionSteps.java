package org.lentilhinge.admission;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.cucumber.java.en.And;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.lentilhinge.configuration.Caller;
import org.lentilhinge.configuration.Urgency;
import org.lentilhinge.identity.CallerId;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.identity.HostIncarnation;
import org.lentilhinge.identity.RequestId;

/** Defines the steps of the admission scenarios. */
public class AdmissionSteps {

  private static final long MAXIMUM_QUEUE_MILLIS = 20_000;

  private final Map<CallerId, Caller> callers = new HashMap<>();
  private final Map<RequestId, AdmissionRequest> requests = new HashMap<>();
  private final Map<CallerId, Integer> started = new HashMap<>();
  private final List<AdmissionCommand.Refuse> refusals = new ArrayList<>();
  private int offersPerSecond;
  private int urgentPerSecond;
  private int seconds;
  private long longestWaitMillis;

  @Given("callers {string}, {string} and {string} with equal shares")
  public void declare(String first, String second, String third) {
    for (String name : List.of(first, second, third)) {
      callers.put(new CallerId(name), new Caller(new CallerId(name), "0".repeat(64), 1, 1_000));
    }
  }

  @When("each caller offers {int} requests per second, {int} of them urgent, for {int} seconds")
  public void plan(int offers, int urgent, int duration) {
    offersPerSecond = offers;
    urgentPerSecond = urgent;
    seconds = duration;
  }

  @And("{int} requests per second can start")
  public void run(int startsPerSecond) {
    AdmissionQueue queue =
        new AdmissionQueue(new AdmissionSettings(500, MAXIMUM_QUEUE_MILLIS, callers), 0);
    for (long second = 0; second < seconds; second++) {
      long nowMillis = second * 1_000;
      for (int offer = 0; offer < offersPerSecond; offer++) {
        for (CallerId caller : callers.keySet()) {
          AdmissionRequest request = request(caller, offer < urgentPerSecond, nowMillis);
          apply(queue.offer(request, nowMillis), queue, nowMillis);
        }
      }
      apply(queue.advance(nowMillis, startsPerSecond), queue, nowMillis);
    }
  }

  @Then("no urgent request is refused")
  public void checkNoUrgentRefusal() {
    long refused =
        refusals.stream()
            .filter(refusal -> requests.get(refusal.request()).urgency() == Urgency.URGENT)
            .count();
    assertEquals(refused, 0);
  }

  @And("each caller starts between {int} and {int} requests")
  public void checkShares(int least, int most) {
    callers
        .keySet()
        .forEach(
            caller ->
                assertTrue(
                    started.get(caller) >= least && started.get(caller) <= most,
                    "started " + started));
  }

  @And("every refusal states when to retry")
  public void checkRetryAfter() {
    assertTrue(refusals.size() > 0, "no request was refused");
    refusals.forEach(
        refusal -> assertTrue(refusal.retryAfterMillis() > 0, "retry time of " + refusal));
  }

  @And("no request waits longer than {int} seconds")
  public void checkWaits(int longest) {
    assertTrue(longestWaitMillis <= longest * 1_000L, "waited " + longestWaitMillis + " ms");
  }

  private AdmissionRequest request(CallerId caller, boolean urgent, long nowMillis) {
    RequestId id = new RequestId(new HostIncarnation(new HostId("host"), 1), requests.size());
    AdmissionRequest request =
        new AdmissionRequest(
            id,
            caller,
            urgent ? Urgency.URGENT : Urgency.NORMAL,
            nowMillis,
            nowMillis + MAXIMUM_QUEUE_MILLIS);
    requests.put(id, request);
    return request;
  }

  private void apply(List<AdmissionCommand> commands, AdmissionQueue queue, long nowMillis) {
    for (AdmissionCommand command : commands) {
      AdmissionRequest request = requests.get(command.request());
      longestWaitMillis = Math.max(longestWaitMillis, nowMillis - request.arrivedAtMillis());
      if (command instanceof AdmissionCommand.Refuse refusal) {
        refusals.add(refusal);
      } else {
        started.merge(request.caller(), 1, Integer::sum);
        queue.onFinished(request.id());
      }
    }
  }
}
