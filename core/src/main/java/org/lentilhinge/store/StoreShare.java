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
 * them, and requests permits from those hosts when its own do not suffice.
 */
public final class StoreShare implements LoadPermits {

  /**
   * The maximum duration of a load, in milliseconds. A host must treat a load that takes longer as
   * failed.
   */
  public static final long LOAD_TIMEOUT_MILLIS = 15_000;

  private static final long LEASE_MILLIS = 20_000;
  private static final long LEASE_MARGIN_MILLIS = 1_000;
  private static final long ASK_INTERVAL_MILLIS = 100;
  private static final long LEAST_LEASE_USE_MILLIS = 50;
  private static final long KEEP_OWN_MILLIS = 10_000;
  private static final long LIST_SETTLE_MILLIS = 30_000;
  private static final int PEERS_ASKED_AT_ONCE = 3;
  private static final double LEAST_LENT_STARTS = 0.05;
  private static final double MILLIS_PER_SECOND = 1000.0;
  // Slightly below 1, to tolerate the rounding of accrued tokens.
  private static final double ONE_START = 0.999_999;

  private final HostId self;
  private final ZoneId zone;
  private ZoneShare zoneShare;
  private final StartCredit credit;
  private final InFlightLeases lent = new InFlightLeases();
  private final InFlightLeases borrowed = new InFlightLeases();
  private List<HostId> listed;
  private List<HostId> peers = List.of();
  private int ownInFlight;
  private int growingInFlight;
  private double growingPerSecond;
  private long growsAtMillis;
  private int inFlight;
  private double wantedSeconds;
  private long wantedMillis = -KEEP_OWN_MILLIS;
  private long askAtMillis;
  private long serial;
  private long askedMillis;
  private int nextPeer;

  /**
   * Creates a share without start tokens, so that a restarted host cannot spend tokens twice.
   *
   * @param self this host
   * @param zone this host's availability zone
   * @param zoneHosts the hosts listed in the zone, this host included
   * @param budget the budget of the whole system
   * @param nowMillis the monotonic time
   */
  public StoreShare(
      HostId self, ZoneId zone, List<HostId> zoneHosts, StoreBudget budget, long nowMillis) {
    this.self = self;
    this.zone = zone;
    this.zoneShare = ZoneShare.of(budget, zone);
    this.listed = List.copyOf(zoneHosts);
    this.peers = others(zoneHosts);
    this.ownInFlight = inFlightOf(zoneHosts);
    this.growingInFlight = ownInFlight;
    this.growingPerSecond = zoneShare.loadsPerSecond() / Math.max(1, zoneHosts.size());
    this.credit =
        new StartCredit(growingPerSecond, Math.max(1, zoneShare.loadsInFlight()), nowMillis);
  }

  /**
   * Updates the list of the zone's hosts. A reduction of the share applies at once; an increase
   * applies after the delay within which every other host must have seen the change.
   *
   * @param zoneHosts the hosts listed in the zone, this host included
   * @param nowMillis the monotonic time
   */
  public void hostsListed(List<HostId> zoneHosts, long nowMillis) {
    if (zoneHosts.equals(listed)) {
      return;
    }
    listed = List.copyOf(zoneHosts);
    changeShare(nowMillis);
  }

  /**
   * Updates the budget. As with the list of hosts, a reduction of the share applies at once, and an
   * increase after the delay within which every other host must have seen the change.
   *
   * @param budget the budget of the whole system
   * @param nowMillis the monotonic time
   */
  public void budgetChanged(StoreBudget budget, long nowMillis) {
    ZoneShare changed = ZoneShare.of(budget, zone);
    if (!changed.equals(zoneShare)) {
      zoneShare = changed;
      changeShare(nowMillis);
    }
  }

  private void changeShare(long nowMillis) {
    List<HostId> zoneHosts = listed;
    settle(nowMillis);
    peers = others(zoneHosts);
    growingInFlight = inFlightOf(zoneHosts);
    growingPerSecond = zoneShare.loadsPerSecond() / Math.max(1, zoneHosts.size());
    growsAtMillis = nowMillis + LIST_SETTLE_MILLIS;
    ownInFlight = Math.min(ownInFlight, growingInFlight);
    credit.changeRate(Math.min(credit.perSecond(), growingPerSecond), nowMillis);
  }

  @Override
  public boolean tryStart(boolean speculative, long nowMillis) {
    settle(nowMillis);
    boolean idle = credit.at(nowMillis) >= Math.max(1, zoneShare.loadsInFlight()) * ONE_START;
    if (inFlight >= mayRun(nowMillis) || credit.at(nowMillis) < ONE_START || speculative && !idle) {
      return false;
    }
    credit.change(-1, nowMillis);
    inFlight++;
    return true;
  }

  @Override
  public long expectedWaitMillis(int loadsAhead, long nowMillis) {
    if (zoneShare.loadsPerSecond() <= 0) {
      return Long.MAX_VALUE / 4;
    }
    double missing = Math.max(0, loadsAhead + 1 - credit.at(nowMillis));
    return (long) (missing * MILLIS_PER_SECOND / zoneShare.loadsPerSecond());
  }

  @Override
  public void finish(long nowMillis) {
    inFlight = Math.max(0, inFlight - 1);
  }

  @Override
  public void wanted(double waitingRequestSeconds, long nowMillis) {
    wantedSeconds = waitingRequestSeconds;
    if (waitingRequestSeconds > 0) {
      wantedMillis = nowMillis;
    }
  }

  /**
   * Returns the messages that are due: requests for permits while there is demand, and returns of
   * leases that are no longer needed.
   *
   * @param nowMillis the monotonic time
   * @return the messages
   */
  public List<AddressedMessage> messages(long nowMillis) {
    settle(nowMillis);
    List<AddressedMessage> messages = new ArrayList<>();
    boolean used = nowMillis - askedMillis >= LEAST_LEASE_USE_MILLIS;
    if (used && inFlight <= ownInFlight - lent.loadsUntil(nowMillis)) {
      messages.addAll(giveBack());
    }
    if (wantedSeconds > 0 && nowMillis >= askAtMillis) {
      messages.addAll(ask(nowMillis));
    }
    return messages;
  }

  /**
   * Handles a message from a host of the zone.
   *
   * @param message the message; messages that do not concern load permits are ignored
   * @param nowMillis the monotonic time
   * @return the response, or empty if there is none
   */
  public Optional<AddressedMessage> receive(PeerMessage message, long nowMillis) {
    settle(nowMillis);
    if (message instanceof PermitRequest request) {
      return lend(request, nowMillis);
    }
    if (message instanceof PermitGrant grant) {
      borrow(grant, nowMillis);
    }
    if (message instanceof PermitReturn returned) {
      lent.remove(new InFlightLeases.Key(returned.borrower(), returned.serial()));
    }
    return Optional.empty();
  }

  private List<AddressedMessage> ask(long nowMillis) {
    askAtMillis = nowMillis + ASK_INTERVAL_MILLIS;
    serial++;
    askedMillis = nowMillis;
    List<AddressedMessage> messages = new ArrayList<>();
    for (int count = 0; count < Math.min(PEERS_ASKED_AT_ONCE, peers.size()); count++) {
      nextPeer = (nextPeer + 1) % peers.size();
      PermitRequest request = new PermitRequest(self, serial, wantedSeconds);
      messages.add(new AddressedMessage(peers.get(nextPeer), request));
    }
    return messages;
  }

  private Optional<AddressedMessage> lend(PermitRequest request, long nowMillis) {
    if (wantedSeconds >= request.waitingRequestSeconds()) {
      return Optional.empty();
    }
    double starts = credit.at(nowMillis);
    boolean keepsOne = inFlight > 0 || nowMillis - wantedMillis < KEEP_OWN_MILLIS;
    int kept = Math.max(inFlight, keepsOne ? 1 : 0);
    int spare = Math.max(0, ownInFlight - lent.loadsUntil(nowMillis) - kept);
    if (starts < LEAST_LENT_STARTS) {
      return Optional.empty();
    }
    credit.change(-starts, nowMillis);
    int loads = Math.min(spare, 1);
    if (loads > 0) {
      lent.add(
          new InFlightLeases.Key(request.borrower(), request.serial()),
          loads,
          nowMillis + LEASE_MILLIS + LEASE_MARGIN_MILLIS);
    }
    PermitGrant grant = new PermitGrant(self, request.serial(), starts, loads, LEASE_MILLIS);
    return Optional.of(new AddressedMessage(request.borrower(), grant));
  }

  private void borrow(PermitGrant grant, long nowMillis) {
    if (grant.serial() != serial) {
      return;
    }
    credit.change(grant.starts(), nowMillis);
    if (grant.inFlight() > 0) {
      borrowed.add(
          new InFlightLeases.Key(grant.lender(), grant.serial()),
          grant.inFlight(),
          askedMillis + grant.durationMillis());
    }
  }

  private List<AddressedMessage> giveBack() {
    List<AddressedMessage> messages = new ArrayList<>();
    Optional<InFlightLeases.Key> key = borrowed.takeOne();
    while (key.isPresent()) {
      PermitReturn returned = new PermitReturn(self, key.get().serial());
      messages.add(new AddressedMessage(key.get().other(), returned));
      key = borrowed.takeOne();
    }
    return messages;
  }

  /**
   * Returns the number of loads that may run at the same time. Borrowed loads count only if their
   * lease lasts for the maximum duration of a load.
   */
  private int mayRun(long nowMillis) {
    return ownInFlight
        - lent.loadsUntil(nowMillis)
        + borrowed.loadsUntil(nowMillis + LOAD_TIMEOUT_MILLIS);
  }

  private void settle(long nowMillis) {
    lent.forgetUntil(nowMillis);
    borrowed.forgetUntil(nowMillis);
    if (nowMillis >= growsAtMillis) {
      ownInFlight = growingInFlight;
      credit.changeRate(growingPerSecond, nowMillis);
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
    int even = zoneShare.loadsInFlight() / sorted.size();
    return even + (position < zoneShare.loadsInFlight() % sorted.size() ? 1 : 0);
  }
}
