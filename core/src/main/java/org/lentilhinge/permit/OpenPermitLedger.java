package org.lentilhinge.permit;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The permits that this host awaits or holds, by the host that issues them, and the times at which
 * the issuing hosts are told. A statement is repeated because any message may be lost.
 */
public final class OpenPermitLedger {

  /** The interval of statements to a host that was asked for permits recently, in milliseconds. */
  private static final long STATEMENT_INTERVAL_MILLIS = 2_000;

  /** The interval of statements to other hosts that were asked before, in milliseconds. */
  private static final long IDLE_INTERVAL_MILLIS = 10_000;

  /** The number of ids in one statement. */
  private static final int MAXIMUM_IDS = 4_096;

  private final Map<String, Issuer> issuers = new TreeMap<>();

  private static final class Issuer {
    private final TreeSet<Long> open = new TreeSet<>();
    private long activeAtMillis;
    private long statedAtMillis;
  }

  /** Creates an empty ledger. */
  public OpenPermitLedger() {}

  /**
   * Records a permit request.
   *
   * @param host the host that receives it
   * @param permitId its id
   * @param nowMillis the current time, in milliseconds
   */
  public void open(String host, long permitId, long nowMillis) {
    Issuer issuer = issuers.computeIfAbsent(host, unused -> new Issuer());
    issuer.open.add(permitId);
    issuer.activeAtMillis = nowMillis;
  }

  /**
   * Records that a permit was refused, withdrawn or returned.
   *
   * @param host the host that received the permit request
   * @param permitId its id
   */
  public void close(String host, long permitId) {
    Issuer issuer = issuers.get(host);
    if (issuer != null) {
      issuer.open.remove(permitId);
    }
  }

  /**
   * Removes a host that has failed or was restarted; it knows of no permits any more.
   *
   * @param host the host
   */
  public void removeHost(String host) {
    issuers.remove(host);
  }

  /**
   * Returns the statements that are due.
   *
   * @param lastPermitId the highest id that was given to a permit request so far
   * @param nowMillis the current time, in milliseconds
   * @return the statements by the hosts that receive them
   */
  public Map<String, OpenPermits> dueStatements(long lastPermitId, long nowMillis) {
    Map<String, OpenPermits> due = new TreeMap<>();
    issuers.forEach(
        (host, issuer) -> {
          boolean active =
              !issuer.open.isEmpty() || nowMillis - issuer.activeAtMillis <= IDLE_INTERVAL_MILLIS;
          long intervalMillis = active ? STATEMENT_INTERVAL_MILLIS : IDLE_INTERVAL_MILLIS;
          if (nowMillis - issuer.statedAtMillis >= intervalMillis) {
            issuer.statedAtMillis = nowMillis;
            due.put(host, statement(issuer, lastPermitId));
          }
        });
    return due;
  }

  private static OpenPermits statement(Issuer issuer, long lastPermitId) {
    List<Long> ids = issuer.open.stream().limit(MAXIMUM_IDS).toList();
    boolean complete = ids.size() == issuer.open.size();
    return new OpenPermits(complete ? lastPermitId : ids.get(ids.size() - 1), ids);
  }
}
