package org.lentilhinge.lease;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.identity.HostIncarnation;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the votes of a grantor. */
public class LeaseGrantorTest {

  private static final long STARTED_AT_MILLIS = 50_000;
  private static final List<HostId> FIRST_LIST = List.of(new HostId("one"), new HostId("two"));
  private static final List<HostId> SECOND_LIST = List.of(new HostId("two"), new HostId("three"));

  private final LeaseSettings settings = LeaseSettings.defaults();
  private final long quarantineEndMillis = STARTED_AT_MILLIS + settings.leaseMillis();
  private VoterLists lists;
  private LeaseGrantor grantor;

  @BeforeMethod
  public void start() {
    lists = new VoterLists(settings.listRetentionMillis());
    lists.updateCurrent(FIRST_LIST, STARTED_AT_MILLIS);
    grantor = new LeaseGrantor(incarnation("two"), settings, lists, STARTED_AT_MILLIS);
  }

  @Test
  public void doesNotVoteUntilTheLeasesOfAnEarlierRunHaveExpired() {
    assertEquals(requestStatus("one", 1, 0, quarantineEndMillis - 1), LeaseStatus.QUARANTINED);
    assertEquals(requestStatus("one", 2, 1, quarantineEndMillis), LeaseStatus.GRANTED);
    grantor.onClockJump(quarantineEndMillis);
    assertEquals(requestStatus("one", 3, 2, quarantineEndMillis + 1), LeaseStatus.QUARANTINED);
  }

  @Test
  public void votesForOneHolderOfAnEndpoint() {
    requestStatus("one", 1, 0, quarantineEndMillis);
    LeaseReply refused = reply("three", 1, 0, quarantineEndMillis + settings.leaseMillis() - 1);
    assertEquals(refused.refusals().get(0).holder(), new HostId("one"));
    LeaseReply granted = reply("three", 2, 1, quarantineEndMillis + settings.leaseMillis());
    assertEquals(granted.refusals(), List.of());
  }

  @Test
  public void rejectsRequestsThatLackOneOfItsLists() {
    lists.updateCurrent(SECOND_LIST, quarantineEndMillis);
    LeaseReply reply = reply("one", 1, 0, quarantineEndMillis);
    assertEquals(reply.status(), LeaseStatus.LISTS_DIFFER);
    assertEquals(reply.lists().size(), 2);
  }

  @Test
  public void ignoresOutdatedRequests() {
    requestStatus("one", 2, 0, quarantineEndMillis);
    assertEquals(grantor.onRequest(request("one", 1, 0), quarantineEndMillis), Optional.empty());
  }

  @Test
  public void doesNotVoteForHoldersThatDoNotAcknowledge() {
    long millis = quarantineEndMillis;
    for (long sequence = 1; sequence <= 4; sequence++) {
      assertEquals(requestStatus("one", sequence, 0, millis), LeaseStatus.GRANTED);
      millis += settings.renewalIntervalMillis();
    }
    assertEquals(requestStatus("one", 5, 0, millis), LeaseStatus.UNHEARD);
    assertEquals(requestStatus("one", 6, 5, millis), LeaseStatus.GRANTED);
  }

  @Test
  public void keepsItsVoteForTheEarlierIncarnationOfRestartedHolders() {
    requestStatus("one", 1, 0, quarantineEndMillis);
    HostIncarnation later = new HostIncarnation(new HostId("one"), 2);
    LeaseRequest request =
        new LeaseRequest(later, 1, 0, lists.digests(quarantineEndMillis), 7, true, endpoints());
    LeaseReply reply = grantor.onRequest(request, quarantineEndMillis).orElseThrow().reply();
    assertEquals(reply.refusals().size(), 1);
  }

  @Test
  public void reportsReleasedEndpoints() {
    requestStatus("one", 1, 0, quarantineEndMillis);
    LeaseRequest release =
        new LeaseRequest(
            incarnation("one"), 2, 1, lists.digests(quarantineEndMillis), 0, true, List.of());
    assertEquals(
        grantor.onRequest(release, quarantineEndMillis).orElseThrow().released(), endpoints());
    assertTrue(reply("three", 1, 0, quarantineEndMillis).refusals().isEmpty());
  }

  private LeaseStatus requestStatus(
      String holder, long sequence, long acknowledged, long nowMillis) {
    return reply(holder, sequence, acknowledged, nowMillis).status();
  }

  private LeaseReply reply(String holder, long sequence, long acknowledged, long nowMillis) {
    return grantor
        .onRequest(request(holder, sequence, acknowledged), nowMillis)
        .orElseThrow()
        .reply();
  }

  private static LeaseRequest request(String holder, long sequence, long acknowledged) {
    List<Long> digests = List.of(new VoterList(FIRST_LIST, 0).digest());
    return new LeaseRequest(
        incarnation(holder), sequence, acknowledged, digests, 7, true, endpoints());
  }

  private static List<EndpointId> endpoints() {
    return List.of(new EndpointId("engine"));
  }

  private static HostIncarnation incarnation(String name) {
    return new HostIncarnation(new HostId(name), 1);
  }
}
