package org.lentilhinge.lease;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.lentilhinge.configuration.FencingSupport;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.identity.HostIncarnation;
import org.testng.annotations.Test;

/** Tests how a candidate behaves when grantors have voted for another host. */
public class ZoneOwnershipTest {

  private static final EndpointId ENDPOINT = new EndpointId("engine");
  private static final long TICK_MILLIS = 500;

  private final List<HostId> ranked =
      RendezvousHash.ranked(
          ENDPOINT.value(),
          List.of(new HostId("one"), new HostId("two"), new HostId("three"), new HostId("four")));
  private final HostId competitor = ranked.get(0);
  private final HostId self = ranked.get(1);

  @Test
  public void yieldsToPersistentCompetitorsOfHigherRank() {
    ZoneOwnership ownership = new ZoneOwnership(incarnation(self), LeaseSettings.defaults(), 0);
    Set<HostId> live = new HashSet<>(ranked);
    live.remove(competitor);
    ownership.onHostList(ranked, 0);
    ownership.onEndpoints(Map.of(ENDPOINT, FencingSupport.CHECKED), 0);
    ownership.onLiveHosts(live, 0);
    List<LeaseRequest> sent = new ArrayList<>();
    for (long now = 0; now < 20_000; now += TICK_MILLIS) {
      sent.addAll(tick(ownership, now));
    }
    assertEquals(sent.get(0).endpoints(), List.of(ENDPOINT));
    assertTrue(sent.stream().anyMatch(request -> request.full() && request.endpoints().isEmpty()));
  }

  @Test
  public void doesNotVoteAfterClockJumps() {
    ZoneOwnership ownership = new ZoneOwnership(incarnation(self), LeaseSettings.defaults(), 0);
    ownership.onHostList(ranked, 0);
    List<Long> digests = List.of(new VoterList(ranked.stream().sorted().toList(), 0).digest());
    assertEquals(requestStatus(ownership, 1, digests, 10_000), LeaseStatus.GRANTED);
    ownership.onClockJump(10_000);
    assertEquals(requestStatus(ownership, 2, digests, 10_001), LeaseStatus.QUARANTINED);
  }

  private LeaseStatus requestStatus(
      ZoneOwnership ownership, long sequence, List<Long> digests, long nowMillis) {
    LeaseRequest request =
        new LeaseRequest(incarnation(competitor), sequence, 0, digests, 7, true, List.of(ENDPOINT));
    OwnershipCommand command = ownership.onMessage(request, nowMillis).get(0);
    return ((LeaseReply) ((OwnershipCommand.Send) command).message()).status();
  }

  /** Runs a tick; the third host refuses because of the competitor, the other hosts grant. */
  private List<LeaseRequest> tick(ZoneOwnership ownership, long nowMillis) {
    List<LeaseRequest> requests = new ArrayList<>();
    for (OwnershipCommand command : ownership.onTick(nowMillis)) {
      if (command instanceof OwnershipCommand.Send send && !send.to().equals(competitor)) {
        LeaseRequest request = (LeaseRequest) send.message();
        boolean refuses = send.to().equals(ranked.get(2));
        List<LeaseRefusal> refusals =
            refuses ? List.of(new LeaseRefusal(ENDPOINT, competitor)) : List.of();
        requests.add(request);
        ownership.onMessage(
            new LeaseReply(
                incarnation(send.to()),
                request.sequence(),
                LeaseStatus.GRANTED,
                refusals,
                List.of()),
            nowMillis);
      }
    }
    return requests;
  }

  private static HostIncarnation incarnation(HostId host) {
    return new HostIncarnation(host, 1);
  }
}
