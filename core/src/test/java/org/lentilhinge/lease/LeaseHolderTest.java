package org.lentilhinge.lease;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.stream.Stream;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.identity.HostIncarnation;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which votes are sufficient for ownership. */
public class LeaseHolderTest {

  private static final EndpointId ENDPOINT = new EndpointId("engine");

  private final LeaseSettings settings = LeaseSettings.defaults();
  private VoterLists lists;
  private LeaseHolder holder;

  @BeforeMethod
  public void start() {
    lists = new VoterLists(settings.listRetentionMillis());
    holder = new LeaseHolder(incarnation("one"), settings, lists);
  }

  @Test
  public void measuresVotesFromTheTimeOfTheRequest() {
    LeaseHolder claiming = claimingHolder("one", "two", "three");
    long sequence = send(claiming, 0);
    claiming.onReply(reply("one", sequence, LeaseStatus.GRANTED), 3_000);
    claiming.onReply(reply("two", sequence, LeaseStatus.GRANTED), 3_000);
    assertEquals(claiming.orderUntilMillis(ENDPOINT, 3_000), settings.holderLeaseMillis());
    assertTrue(settings.holderLeaseMillis() < settings.leaseMillis());
  }

  @Test
  public void needsMajorityInEachActiveList() {
    LeaseHolder claiming = claimingHolder("one", "two", "three");
    lists.updateCurrent(hosts("one", "four", "five"), 100);
    long sequence = send(claiming, 100);
    for (String grantor : List.of("one", "four", "five")) {
      claiming.onReply(reply(grantor, sequence, LeaseStatus.GRANTED), 110);
    }
    assertFalse(claiming.orderUntilMillis(ENDPOINT, 110) > 110);
    claiming.onReply(reply("two", sequence, LeaseStatus.GRANTED), 120);
    assertTrue(claiming.orderUntilMillis(ENDPOINT, 120) > 120);
  }

  @Test
  public void dropsReplacedListsAfterTheirRetention() {
    LeaseHolder claiming = claimingHolder("one", "two");
    lists.updateCurrent(hosts("one"), 100);
    long retentionEndMillis = 100 + settings.listRetentionMillis();
    claiming.onReply(
        reply("one", send(claiming, retentionEndMillis - 1), LeaseStatus.GRANTED),
        retentionEndMillis - 1);
    assertFalse(claiming.orderUntilMillis(ENDPOINT, retentionEndMillis - 1) > retentionEndMillis);
    assertTrue(claiming.orderUntilMillis(ENDPOINT, retentionEndMillis) > retentionEndMillis);
  }

  @Test
  public void ignoresRepliesFromBeforeItsRelease() {
    LeaseHolder claiming = claimingHolder("one", "two", "three");
    long sequence = send(claiming, 0);
    claiming.removeClaim(ENDPOINT);
    send(claiming, 10);
    claiming.claim(ENDPOINT);
    claiming.onReply(reply("one", sequence, LeaseStatus.GRANTED), 20);
    claiming.onReply(reply("two", sequence, LeaseStatus.GRANTED), 20);
    assertFalse(claiming.orderUntilMillis(ENDPOINT, 20) > 20);
  }

  @Test
  public void countsRetiredPartnersInListsOfTwoOnly() {
    LeaseHolder claiming = claimingHolder("one", "two", "three", "four");
    long sequence = send(claiming, 0);
    claiming.onReply(reply("one", sequence, LeaseStatus.GRANTED), 0);
    claiming.onReply(reply("two", sequence, LeaseStatus.GRANTED), 0);
    claiming.onReply(reply("three", sequence, LeaseStatus.RETIRED), 0);
    assertFalse(claiming.orderUntilMillis(ENDPOINT, 0) > 0);
  }

  @Test
  public void ownsAloneWhenItsOnlyPartnerHasRetired() {
    LeaseHolder claiming = claimingHolder("one", "two");
    long sequence = send(claiming, 0);
    claiming.onReply(reply("one", sequence, LeaseStatus.GRANTED), 0);
    claiming.onReply(reply("two", sequence, LeaseStatus.RETIRED), 0);
    assertEquals(claiming.orderUntilMillis(ENDPOINT, 0), settings.holderLeaseMillis());
  }

  @Test
  public void blocksOtherOwnersWithoutMajority() {
    LeaseHolder claiming = claimingHolder("one", "two");
    claiming.onReply(reply("one", send(claiming, 0), LeaseStatus.GRANTED), 0);
    assertFalse(claiming.orderUntilMillis(ENDPOINT, 0) > 0);
    assertTrue(claiming.serveUntilMillis(ENDPOINT, 0) > 0);
    lists.updateCurrent(hosts("one", "two", "three"), 10);
    assertFalse(claiming.serveUntilMillis(ENDPOINT, 10) > 10);
  }

  private LeaseHolder claimingHolder(String... names) {
    lists.updateCurrent(hosts(names), 0);
    holder.claim(ENDPOINT);
    return holder;
  }

  private static long send(LeaseHolder holder, long nowMillis) {
    return holder.requests(nowMillis).values().iterator().next().sequence();
  }

  private static LeaseReply reply(String grantor, long sequence, LeaseStatus status) {
    return new LeaseReply(incarnation(grantor), sequence, status, List.of(), List.of());
  }

  private static HostIncarnation incarnation(String name) {
    return new HostIncarnation(new HostId(name), 1);
  }

  private static List<HostId> hosts(String... names) {
    return Stream.of(names).map(HostId::new).toList();
  }
}
