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

  private static final long STARTED_MILLIS = 50_000;
  private static final List<HostId> FIRST = List.of(new HostId("one"), new HostId("two"));
  private static final List<HostId> SECOND = List.of(new HostId("two"), new HostId("three"));

  private final LeaseSettings settings = LeaseSettings.defaults();
  private final long readyMillis = STARTED_MILLIS + settings.leaseMillis();
  private VoterLists lists;
  private LeaseGrantor grantor;

  @BeforeMethod
  public void start() {
    lists = new VoterLists(settings.listMemoryMillis());
    lists.observe(FIRST, STARTED_MILLIS);
    grantor = new LeaseGrantor(life("two"), settings, lists, STARTED_MILLIS);
  }

  @Test
  public void promisesNothingUntilTheLongestLeaseHasExpired() {
    assertEquals(ask("one", 1, 0, readyMillis - 1), LeaseStatus.QUARANTINED);
    assertEquals(ask("one", 2, 1, readyMillis), LeaseStatus.GRANTED);
    grantor.onClockJump(readyMillis);
    assertEquals(ask("one", 3, 2, readyMillis + 1), LeaseStatus.QUARANTINED);
  }

  @Test
  public void promisesEachEndpointToOneHolder() {
    ask("one", 1, 0, readyMillis);
    LeaseReply refused = reply("three", 1, 0, readyMillis + settings.leaseMillis() - 1);
    assertEquals(refused.refusals().get(0).heldBy(), new HostId("one"));
    LeaseReply granted = reply("three", 2, 1, readyMillis + settings.leaseMillis());
    assertEquals(granted.refusals(), List.of());
  }

  @Test
  public void refusesHoldersThatMissOneOfItsLists() {
    lists.observe(SECOND, readyMillis);
    LeaseReply reply = reply("one", 1, 0, readyMillis);
    assertEquals(reply.status(), LeaseStatus.LISTS_DIFFER);
    assertEquals(reply.lists().size(), 2);
  }

  @Test
  public void ignoresOvertakenRequests() {
    ask("one", 2, 0, readyMillis);
    assertEquals(grantor.onRequest(request("one", 1, 0), readyMillis), Optional.empty());
  }

  @Test
  public void promisesNothingToHoldersThatDoNotHear() {
    long millis = readyMillis;
    for (long sequence = 1; sequence <= 4; sequence++) {
      assertEquals(ask("one", sequence, 0, millis), LeaseStatus.GRANTED);
      millis += settings.renewMillis();
    }
    assertEquals(ask("one", 5, 0, millis), LeaseStatus.UNHEARD);
    assertEquals(ask("one", 6, 5, millis), LeaseStatus.GRANTED);
  }

  @Test
  public void keepsItsPromiseToTheEarlierLifeOfRestartedHolders() {
    ask("one", 1, 0, readyMillis);
    HostIncarnation later = new HostIncarnation(new HostId("one"), 2);
    LeaseRequest request =
        new LeaseRequest(later, 1, 0, lists.digests(readyMillis), 7, true, endpoints());
    LeaseReply reply = grantor.onRequest(request, readyMillis).orElseThrow().reply();
    assertEquals(reply.refusals().size(), 1);
  }

  @Test
  public void tellsWhatReleasesSetFree() {
    ask("one", 1, 0, readyMillis);
    LeaseRequest release =
        new LeaseRequest(life("one"), 2, 1, lists.digests(readyMillis), 0, true, List.of());
    assertEquals(grantor.onRequest(release, readyMillis).orElseThrow().released(), endpoints());
    assertTrue(reply("three", 1, 0, readyMillis).refusals().isEmpty());
  }

  private LeaseStatus ask(String holder, long sequence, long acknowledged, long nowMillis) {
    return reply(holder, sequence, acknowledged, nowMillis).status();
  }

  private LeaseReply reply(String holder, long sequence, long acknowledged, long nowMillis) {
    return grantor
        .onRequest(request(holder, sequence, acknowledged), nowMillis)
        .orElseThrow()
        .reply();
  }

  private static LeaseRequest request(String holder, long sequence, long acknowledged) {
    List<Long> digests = List.of(new VoterList(FIRST, 0).digest());
    return new LeaseRequest(life(holder), sequence, acknowledged, digests, 7, true, endpoints());
  }

  private static List<EndpointId> endpoints() {
    return List.of(new EndpointId("engine"));
  }

  private static HostIncarnation life(String name) {
    return new HostIncarnation(new HostId(name), 1);
  }
}
