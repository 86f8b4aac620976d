package org.lentilhinge.admission;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

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
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the order, the shares and the limits of a gateway's admission queue. */
public class AdmissionQueueTest {

  private static final int MAXIMUM_QUEUED = 10;
  private static final int MAXIMUM_CONCURRENT = 8;

  private final Map<RequestId, AdmissionRequest> offered = new HashMap<>();
  private AdmissionQueue queue;
  private long sequence;

  @BeforeMethod
  public void createQueue() {
    Map<CallerId, Caller> callers = new HashMap<>();
    for (String name : List.of("bilbao", "santander")) {
      CallerId id = new CallerId(name);
      int share = name.equals("bilbao") ? 3 : 1;
      callers.put(id, new Caller(id, "0".repeat(64), share, MAXIMUM_CONCURRENT));
    }
    queue = new AdmissionQueue(new AdmissionSettings(MAXIMUM_QUEUED, 20_000, callers), 0);
    queue.advance(0, 100);
  }

  @Test
  public void startsMoreUrgentRequestsFirst() {
    offer("bilbao", Urgency.BACKGROUND, 20_000);
    offer("bilbao", Urgency.URGENT, 20_000);
    assertEquals(start(1).get(0).urgency(), Urgency.URGENT);
  }

  @Test
  public void doesNotStarveLessUrgentRequests() {
    offer("bilbao", Urgency.BACKGROUND, 20_000);
    List<Urgency> started = new ArrayList<>();
    for (int round = 0; round < 40; round++) {
      offer("santander", Urgency.URGENT, 20_000);
      start(1).forEach(request -> started.add(request.urgency()));
    }
    assertTrue(started.contains(Urgency.BACKGROUND), "started " + started);
  }

  @Test
  public void sharesStartsByWeight() {
    for (int count = 0; count < 4; count++) {
      offer("bilbao", Urgency.NORMAL, 20_000);
      offer("santander", Urgency.NORMAL, 20_000);
    }
    long startsOfBilbao =
        start(4).stream().filter(request -> request.caller().value().equals("bilbao")).count();
    assertEquals(startsOfBilbao, 3);
  }

  @Test
  public void refusesBeyondTheCallersLimitAtOnce() {
    for (int count = 0; count < MAXIMUM_CONCURRENT; count++) {
      offer("bilbao", Urgency.NORMAL, 20_000);
    }
    assertEquals(refusal(offer("bilbao", Urgency.NORMAL, 20_000)), AdmissionReason.CALLER_LIMIT);
  }

  @Test
  public void shedsFromCallerWithMostWaitingRequestsForItsShare() {
    for (int count = 0; count < 5; count++) {
      offer("bilbao", Urgency.NORMAL, 20_000);
      offer("santander", Urgency.NORMAL, 20_000);
    }
    AdmissionCommand.Refuse refused =
        (AdmissionCommand.Refuse) offer("bilbao", Urgency.NORMAL, 20_000).get(0);
    assertEquals(refused.reason(), AdmissionReason.QUEUE_FULL);
    assertEquals(offered.get(refused.request()).caller().value(), "santander");
  }

  @Test
  public void refusesRequestThatCouldNotStartInTimeWithRetryTime() {
    queue.advance(0, 0);
    offer("bilbao", Urgency.NORMAL, 20_000);
    AdmissionCommand.Refuse refused =
        (AdmissionCommand.Refuse) offer("bilbao", Urgency.NORMAL, 1_000).get(0);
    assertEquals(refused.reason(), AdmissionReason.WAIT_TOO_LONG);
    assertTrue(refused.retryAfterMillis() >= 1_000, "retry after " + refused.retryAfterMillis());
  }

  @Test
  public void refusesAtTheDeadline() {
    offer("bilbao", Urgency.NORMAL, 500);
    assertEquals(refusal(queue.advance(500, 0)), AdmissionReason.DEADLINE);
    assertEquals(queue.queued(), 0);
  }

  @Test
  public void startsRequeuedRequestBeforeOthersOfItsCaller() {
    offer("bilbao", Urgency.NORMAL, 20_000);
    offer("bilbao", Urgency.NORMAL, 20_000);
    AdmissionRequest first = start(1).get(0);
    queue.requeue(first.id());
    assertEquals(start(1).get(0), first);
  }

  private List<AdmissionCommand> offer(String caller, Urgency urgency, long deadlineMillis) {
    RequestId id = new RequestId(new HostIncarnation(new HostId("host"), 1), sequence++);
    AdmissionRequest request =
        new AdmissionRequest(id, new CallerId(caller), urgency, 0, deadlineMillis);
    offered.put(id, request);
    return queue.offer(request, 0);
  }

  private List<AdmissionRequest> start(int capacity) {
    return queue.advance(0, capacity).stream()
        .map(command -> offered.get(command.request()))
        .toList();
  }

  private static AdmissionReason refusal(List<AdmissionCommand> commands) {
    return ((AdmissionCommand.Refuse) commands.get(0)).reason();
  }
}
