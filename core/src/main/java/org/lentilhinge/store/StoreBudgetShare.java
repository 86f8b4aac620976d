package org.lentilhinge.store;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.lentilhinge.configuration.StoreBudget;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.identity.ZoneId;
import org.lentilhinge.message.PeerMessage;

/**
 * A host's share of the store budget: the zone's share divided by the number of the zone's hosts.
 * The host lends starts and in-flight loads that it does not need to hosts of the zone that request
 * them, and requests permits from those hosts when its own permits are not sufficient.
 */
public final class StoreBudgetShare implements LoadPermits {

  /**
   * The maximum duration of a load, in milliseconds. A host must treat a load that takes longer as
   * failed.
   */
  public static final long LOAD_TIMEOUT_MILLIS = 15_000;

  private static final long LEASE_MILLIS = 20_000;
  private static final long LEASE_MARGIN_MILLIS = 1_000;
  private static final long REQUEST_INTERVAL_MILLIS = 100;
  private static final long MINIMUM_LEASE_USE_MILLIS = 50;
  private static final long RECENT_DEMAND_MILLIS = 10_000;
  private static final long INCREASE_DELAY_MILLIS = 30_000;
  private static final int PEERS_PER_REQUEST = 3;
  private static final double MINIMUM_LENT_STARTS = 0.05;
  private static final double MILLIS_PER_SECOND = 1000.0;
  // Slightly below 1, to tolerate the rounding of accrued tokens.
  private static final double ONE_START = 0.999_999;

  private final HostId self;
  private final ZoneId zone;
  private ZoneShare zoneShare;
  private final StartTokenBucket startTokens;
  private final InFlightLeases lent = new InFlightLeases();
  private final InFlightLeases borrowed = new InFlightLeases();
  private List<HostId> listedHosts;
  private List<HostId> peers = List.of();
  private int ownInFlight;
  private int pendingInFlight;
  private double pendingPerSecond;
  private long increasesAtMillis;
  private int inFlight;
  private double demandSeconds;
  private long lastDemandAtMillis = -RECENT_DEMAND_MILLIS;
  private long nextRequestAtMillis;
  private long serial;
  private long lastRequestAtMillis;
  private int nextPeer;

  /**
   * Creates a share without start tokens, so that a restarted host cannot spend tokens twice.
   *
   * @param self this host
   * @param zone this host's availability zone
   * @param zoneHosts the hosts listed in the zone, this host included
   * @param budget the budget of the whole system
   * @param nowMillis the monotonic time, in milliseconds
   */
  public StoreBudgetShare(
      HostId self, ZoneId zone, List<HostId> zoneHosts, StoreBudget budget, long nowMillis) {
    this.self = self;
    this.zone = zone;
    this.zoneShare = ZoneShare.of(budget, zone);
    this.listedHosts = List.copyOf(zoneHosts);
    this.peers = others(zoneHosts);
    this.ownInFlight = inFlightOf(zoneHosts);
    this.pendingInFlight = ownInFlight;
    this.pendingPerSecond = zoneShare.loadsPerSecond() / Math.max(1, zoneHosts.size());
    this.startTokens =
        new StartTokenBucket(pendingPerSecond, Math.max(1, zoneShare.loadsInFlight()), nowMillis);
  }

  /**
   * Updates the list of the zone's hosts. A reduction of the share applies at once; an increase
   * applies after a delay, within which every other host must have received the change.
   *
   * @param zoneHosts the hosts listed in the zone, this host included
   * @param nowMillis the monotonic time, in milliseconds
   */
  public void onHostList(List<HostId> zoneHosts, long nowMillis) {
    if (zoneHosts.equals(listedHosts)) {
      return;
    }
    listedHosts = List.copyOf(zoneHosts);
    changeShare(nowMillis);
  }

  /**
   * Updates the budget. As with the list of hosts, a reduction of the share applies at once, and an
   * increase after a delay, within which every other host must have received the change.
   *
   * @param budget the budget of the whole system
   * @param nowMillis the monotonic time, in milliseconds
   */
  public void onBudget(StoreBudget budget, long nowMillis) {
    ZoneShare newZoneShare = ZoneShare.of(budget, zone);
    if (!newZoneShare.equals(zoneShare)) {
      zoneShare = newZoneShare;
      changeShare(nowMillis);
    }
  }

  private void changeShare(long nowMillis) {
    List<HostId> zoneHosts = listedHosts;
    expireAndIncrease(nowMillis);
    peers = others(zoneHosts);
    pendingInFlight = inFlightOf(zoneHosts);
    pendingPerSecond = zoneShare.loadsPerSecond() / Math.max(1, zoneHosts.size());
    increasesAtMillis = nowMillis + INCREASE_DELAY_MILLIS;
    ownInFlight = Math.min(ownInFlight, pendingInFlight);
    startTokens.setRate(Math.min(startTokens.tokensPerSecond(), pendingPerSecond), nowMillis);
  }

  @Override
  public boolean tryStart(boolean speculative, long nowMillis) {
    expireAndIncrease(nowMillis);
    boolean idle =
        startTokens.tokensAt(nowMillis) >= Math.max(1, zoneShare.loadsInFlight()) * ONE_START;
    if (inFlight >= permittedInFlight(nowMillis)
        || startTokens.tokensAt(nowMillis) < ONE_START
        || speculative && !idle) {
      return false;
    }
    startTokens.add(-1, nowMillis);
    inFlight++;
    return true;
  }

  @Override
  public long expectedWaitMillis(int loadsAhead, long nowMillis) {
    if (zoneShare.loadsPerSecond() <= 0) {
      return Long.MAX_VALUE / 4;
    }
    double missing = Math.max(0, loadsAhead + 1 - startTokens.tokensAt(nowMillis));
    return (long) (missing * MILLIS_PER_SECOND / zoneShare.loadsPerSecond());
  }

  @Override
  public void finish(long nowMillis) {
    inFlight = Math.max(0, inFlight - 1);
  }

  @Override
  public void reportDemand(double waitingRequestSeconds, long nowMillis) {
    demandSeconds = waitingRequestSeconds;
    if (waitingRequestSeconds > 0) {
      lastDemandAtMillis = nowMillis;
    }
  }

  /**
   * Returns the messages that are due: requests for permits while there is demand, and returns of
   * leases that are no longer needed.
   *
   * @param nowMillis the monotonic time, in milliseconds
   * @return the messages
   */
  public List<AddressedMessage> messages(long nowMillis) {
    expireAndIncrease(nowMillis);
    List<AddressedMessage> messages = new ArrayList<>();
    boolean used = nowMillis - lastRequestAtMillis >= MINIMUM_LEASE_USE_MILLIS;
    if (used && inFlight <= ownInFlight - lent.loadsLastingUntil(nowMillis)) {
      messages.addAll(returnLeases());
    }
    if (demandSeconds > 0 && nowMillis >= nextRequestAtMillis) {
      messages.addAll(requestPermits(nowMillis));
    }
    return messages;
  }

  /**
   * Handles a message from a host of the zone.
   *
   * @param message the message; messages that do not concern load permits are ignored
   * @param nowMillis the monotonic time, in milliseconds
   * @return the response, or empty if there is none
   */
  public Optional<AddressedMessage> onMessage(PeerMessage message, long nowMillis) {
    expireAndIncrease(nowMillis);
    if (message instanceof LoadPermitRequest request) {
      return lend(request, nowMillis);
    }
    if (message instanceof LoadPermitGrant grant) {
      borrow(grant, nowMillis);
    }
    if (message instanceof LoadPermitReturn returned) {
      lent.remove(new InFlightLeases.Key(returned.borrower(), returned.serial()));
    }
    return Optional.empty();
  }

  private List<AddressedMessage> requestPermits(long nowMillis) {
    nextRequestAtMillis = nowMillis + REQUEST_INTERVAL_MILLIS;
    serial++;
    lastRequestAtMillis = nowMillis;
    List<AddressedMessage> messages = new ArrayList<>();
    for (int count = 0; count < Math.min(PEERS_PER_REQUEST, peers.size()); count++) {
      nextPeer = (nextPeer + 1) % peers.size();
      LoadPermitRequest request = new LoadPermitRequest(self, serial, demandSeconds);
      messages.add(new AddressedMessage(peers.get(nextPeer), request));
    }
    return messages;
  }

  private Optional<AddressedMessage> lend(LoadPermitRequest request, long nowMillis) {
    if (demandSeconds >= request.waitingRequestSeconds()) {
      return Optional.empty();
    }
    double starts = startTokens.tokensAt(nowMillis);
    boolean mayLoadSoon = inFlight > 0 || nowMillis - lastDemandAtMillis < RECENT_DEMAND_MILLIS;
    int neededInFlight = Math.max(inFlight, mayLoadSoon ? 1 : 0);
    int spareInFlight =
        Math.max(0, ownInFlight - lent.loadsLastingUntil(nowMillis) - neededInFlight);
    if (starts < MINIMUM_LENT_STARTS) {
      return Optional.empty();
    }
    startTokens.add(-starts, nowMillis);
    int loads = Math.min(spareInFlight, 1);
    if (loads > 0) {
      lent.add(
          new InFlightLeases.Key(request.borrower(), request.serial()),
          loads,
          nowMillis + LEASE_MILLIS + LEASE_MARGIN_MILLIS);
    }
    LoadPermitGrant grant =
        new LoadPermitGrant(self, request.serial(), starts, loads, LEASE_MILLIS);
    return Optional.of(new AddressedMessage(request.borrower(), grant));
  }

  private void borrow(LoadPermitGrant grant, long nowMillis) {
    if (grant.serial() != serial) {
      return;
    }
    startTokens.add(grant.starts(), nowMillis);
    if (grant.inFlight() > 0) {
      borrowed.add(
          new InFlightLeases.Key(grant.lender(), grant.serial()),
          grant.inFlight(),
          lastRequestAtMillis + grant.durationMillis());
    }
  }

  private List<AddressedMessage> returnLeases() {
    List<AddressedMessage> messages = new ArrayList<>();
    Optional<InFlightLeases.Key> key = borrowed.removeOne();
    while (key.isPresent()) {
      LoadPermitReturn returned = new LoadPermitReturn(self, key.get().serial());
      messages.add(new AddressedMessage(key.get().other(), returned));
      key = borrowed.removeOne();
    }
    return messages;
  }

  /**
   * Returns the number of loads that may run at the same time. Borrowed loads count only if their
   * lease lasts for the maximum duration of a load.
   */
  private int permittedInFlight(long nowMillis) {
    return ownInFlight
        - lent.loadsLastingUntil(nowMillis)
        + borrowed.loadsLastingUntil(nowMillis + LOAD_TIMEOUT_MILLIS);
  }

  private void expireAndIncrease(long nowMillis) {
    lent.removeExpired(nowMillis);
    borrowed.removeExpired(nowMillis);
    if (nowMillis >= increasesAtMillis) {
      ownInFlight = pendingInFlight;
      startTokens.setRate(pendingPerSecond, nowMillis);
    }
  }

  private List<HostId> others(List<HostId> zoneHosts) {
    return zoneHosts.stream().filter(host -> !host.equals(self)).sorted().toList();
  }

  private int inFlightOf(List<HostId> zoneHosts) {
    List<HostId> sorted = zoneHosts.stream().distinct().sorted().toList();
    int position = sorted.indexOf(self);
    if (position < 0) {
      return 0;
    }
    int quotient = zoneShare.loadsInFlight() / sorted.size();
    return quotient + (position < zoneShare.loadsInFlight() % sorted.size() ? 1 : 0);
  }
}
