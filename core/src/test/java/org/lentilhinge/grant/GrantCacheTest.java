package org.lentilhinge.grant;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import org.lentilhinge.identity.AdapterId;
import org.lentilhinge.identity.AdapterVersion;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.identity.HostIncarnation;
import org.lentilhinge.identity.RequestId;
import org.testng.annotations.Test;

/** Tests how a gateway requests, uses and releases grants. */
public class GrantCacheTest {

  private static final EndpointId ENDPOINT = new EndpointId("engine");
  private static final AdapterVersion VERSION = new AdapterVersion(new AdapterId("drains"), 1);
  private static final HostIncarnation OWNER = new HostIncarnation(new HostId("owner"), 1);
  private static final HostIncarnation OTHER = new HostIncarnation(new HostId("other"), 1);

  private final GrantSettings settings = GrantSettings.defaults(60_000);

  @Test
  public void sharesOneRequestBetweenWaiters() {
    GrantCache cache = cache(1);
    long sequence = sequence(acquire(cache, 1, 0));
    assertEquals(acquire(cache, 2, 10), List.of());
    assertEquals(cache.onMessage(grantReply(OWNER, sequence), 20).size(), 2);
    assertEquals(cache.inFlight(ENDPOINT, VERSION), 2);
  }

  @Test
  public void measuresTheGrantFromTheTimeOfTheRequest() {
    GrantCache cache = cache(1);
    long sequence = sequence(acquire(cache, 1, 0));
    cache.onMessage(grantReply(OWNER, sequence), 1_900);
    assertTrue(cache.mayDispatch(ENDPOINT, VERSION, 29_499));
    assertFalse(cache.mayDispatch(ENDPOINT, VERSION, 29_500));
  }

  @Test
  public void ignoresRepliesToAnEarlierIncarnation() {
    long sequence = sequence(acquire(cache(1), 1, 0));
    GrantCache later = cache(2);
    acquire(later, 1, 0);
    assertEquals(later.onMessage(grantReply(OWNER, sequence), 10), List.of());
  }

  @Test
  public void ignoresRepliesOfFormerOwners() {
    GrantCache cache = cache(1);
    long sequence = sequence(acquire(cache, 1, 0));
    cache.onMessage(new OwnerAnnouncement(OTHER, List.of(ENDPOINT)), 10);
    assertEquals(cache.onMessage(grantReply(OWNER, sequence), 20), List.of());
    assertFalse(cache.mayDispatch(ENDPOINT, VERSION, 20));
  }

  @Test
  public void registersItsGrantsWithNewOwners() {
    GrantCache cache = cache(1);
    cache.onMessage(grantReply(OWNER, sequence(acquire(cache, 1, 0))), 10);
    List<GrantCommand> commands =
        cache.onMessage(new OwnerAnnouncement(OTHER, List.of(ENDPOINT)), 500);
    GrantCommand.Send send = (GrantCommand.Send) commands.get(0);
    GrantRegistration registration = (GrantRegistration) send.message();
    HeldGrant held = new HeldGrant(VERSION, 29_000, 1);
    assertEquals(send.to(), OTHER.host());
    assertEquals(registration.endpoints().get(0).grants(), List.of(held));
  }

  @Test
  public void followsRedirectsToTheOwner() {
    GrantCache cache = cache(1);
    long sequence = sequence(acquire(cache, 1, 0));
    GrantAnswer redirect = GrantAnswer.notOwner(ENDPOINT, VERSION, Optional.of(OTHER.host()));
    List<GrantCommand> commands =
        cache.onMessage(new GrantReply(OWNER, sequence, List.of(redirect)), 10);
    assertEquals(((GrantCommand.Send) commands.get(0)).to(), OTHER.host());
  }

  @Test
  public void waitsLongerWhileTheOwnerLoads() {
    GrantCache cache = cache(1);
    long sequence = sequence(acquire(cache, 1, 0));
    GrantAnswer loading = GrantAnswer.refused(ENDPOINT, VERSION, GrantOutcome.LOADING, 0);
    cache.onMessage(new GrantReply(OWNER, sequence, List.of(loading)), 10);
    assertEquals(cache.onTick(10_000), List.of());
    assertTrue(
        cache.onMessage(grantReply(OWNER, sequence), 10_100).get(0) instanceof GrantCommand.Ready);
  }

  @Test
  public void refusesWaitingRequestsWhenTheOwnerDoesNotReply() {
    GrantCache cache = cache(1);
    acquire(cache, 1, 0);
    List<GrantCommand> commands = cache.onTick(2_000);
    GrantCommand.Refused refused = (GrantCommand.Refused) commands.get(0);
    assertEquals(refused.reason(), GrantOutcome.UNREACHABLE);
  }

  @Test
  public void renewsGrantsInUseAndReleasesIdleGrants() {
    GrantCache cache = cache(1);
    cache.onMessage(grantReply(OWNER, sequence(acquire(cache, 1, 0))), 10);
    GrantCommand.Send renewal = (GrantCommand.Send) cache.onTick(16_000).get(0);
    assertTrue(renewal.message() instanceof GrantRequest);
    cache.onMessage(grantReply(OWNER, ((GrantRequest) renewal.message()).sequence()), 16_010);
    cache.finish(ENDPOINT, VERSION, 17_000);
    assertEquals(cache.onTick(18_000), List.of());
    GrantCommand.Send release = (GrantCommand.Send) cache.onTick(32_000).get(0);
    assertTrue(release.message() instanceof GrantRelease);
  }

  @Test
  public void invalidatesGrantsAfterClockJumps() {
    GrantCache cache = cache(1);
    cache.onMessage(grantReply(OWNER, sequence(acquire(cache, 1, 0))), 10);
    cache.onClockJump(20);
    assertFalse(cache.mayDispatch(ENDPOINT, VERSION, 20));
    assertEquals(cache.inFlight(ENDPOINT, VERSION), 1);
  }

  @Test
  public void ignoresRepliesOfEarlierOwnershipTerms() {
    GrantCache cache = cache(1);
    cache.onMessage(grantReply(OWNER, sequence(acquire(cache, 1, 0))), 10);
    long renewal = sequence(cache.onTick(16_000));
    cache.onMessage(new OwnerAnnouncement(OTHER, List.of(ENDPOINT)), 16_100);
    cache.onMessage(new OwnerAnnouncement(OWNER, List.of(ENDPOINT)), 16_200);
    cache.onMessage(grantReply(OWNER, renewal), 16_300);
    assertFalse(cache.mayDispatch(ENDPOINT, VERSION, 29_500));
  }

  @Test
  public void releasesRecalledGrantsUnlessUsed() {
    GrantCache cache = cache(1);
    cache.onMessage(grantReply(OWNER, sequence(acquire(cache, 1, 0))), 10);
    GrantRecall recall = new GrantRecall(OWNER.host(), ENDPOINT, VERSION);
    assertEquals(cache.onMessage(recall, 20), List.of());
    cache.finish(ENDPOINT, VERSION, 30);
    GrantCommand.Send release = (GrantCommand.Send) cache.onMessage(recall, 40).get(0);
    assertTrue(release.message() instanceof GrantRelease);
    assertFalse(cache.mayDispatch(ENDPOINT, VERSION, 40));
  }

  private GrantCache cache(long incarnation) {
    return new GrantCache(new HostIncarnation(new HostId("gateway"), incarnation), settings, 0);
  }

  private static List<GrantCommand> acquire(GrantCache cache, long request, long nowMillis) {
    RequestId id = new RequestId(OWNER, request);
    return cache.acquire(id, ENDPOINT, VERSION, OWNER.host(), nowMillis);
  }

  private static long sequence(List<GrantCommand> commands) {
    GrantCommand.Send send = (GrantCommand.Send) commands.get(0);
    return ((GrantRequest) send.message()).sequence();
  }

  private static GrantReply grantReply(HostIncarnation owner, long sequence) {
    GrantAnswer answer = GrantAnswer.granted(ENDPOINT, VERSION, 30_000);
    return new GrantReply(owner, sequence, List.of(answer));
  }
}
