package org.lentilhinge.runtime.forward;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.lentilhinge.permit.OpenPermitLedger;
import org.lentilhinge.permit.PermitAnswer;
import org.lentilhinge.permit.PermitRequest;
import org.lentilhinge.permit.PermitReturn;

/** Requests permits from engine schedulers, and releases them. */
final class PermitClient {

  private final PeerSender peers;
  private final LongSupplier clock;
  private final OpenPermitLedger ledger = new OpenPermitLedger();
  private final Map<Long, PendingRequest> pendingRequests = new HashMap<>();
  private long lastPermitId;

  private record PendingRequest(String host, Consumer<PermitAnswer> callback) {}

  /**
   * Creates a client.
   *
   * @param peers sends the messages
   * @param clock the monotonic clock, in milliseconds
   * @param initialPermitId the id before the first permit id, far from the ids of earlier
   *     incarnations of this host
   */
  PermitClient(PeerSender peers, LongSupplier clock, long initialPermitId) {
    this.peers = peers;
    this.clock = clock;
    this.lastPermitId = initialPermitId;
  }

  /** Returns a permit id that is unique within this incarnation of the host. */
  long nextPermitId() {
    lastPermitId++;
    return lastPermitId;
  }

  /**
   * Sends a permit request to a host. The callback is called once, with a refusal if the connection
   * to the host is lost.
   */
  void request(String host, PermitRequest request, Consumer<PermitAnswer> callback) {
    ledger.open(host, request.permitId(), clock.getAsLong());
    pendingRequests.put(request.permitId(), new PendingRequest(host, callback));
    peers.send(host, request);
  }

  void onAnswer(String host, PermitAnswer answer) {
    PendingRequest pending = pendingRequests.remove(answer.permitId());
    if (!answer.granted()) {
      ledger.close(host, answer.permitId());
    }
    if (pending != null) {
      pending.callback().accept(answer);
    } else if (answer.granted()) {
      // The request has been withdrawn: the permit is released at once.
      release(host, answer.permitId(), PermitReturn.Outcome.DONE, 0);
    }
  }

  /** Releases a permit, or withdraws a permit request. */
  void release(String host, long permitId, PermitReturn.Outcome outcome, long firstEventMillis) {
    pendingRequests.remove(permitId);
    ledger.close(host, permitId);
    peers.send(host, new PermitReturn(permitId, outcome, firstEventMillis));
  }

  /** Answers all pending permit requests to a lost host with a refusal. */
  void removeHost(String host) {
    for (Map.Entry<Long, PendingRequest> entry : List.copyOf(pendingRequests.entrySet())) {
      if (entry.getValue().host().equals(host) && pendingRequests.remove(entry.getKey()) != null) {
        ledger.close(host, entry.getKey());
        entry
            .getValue()
            .callback()
            .accept(new PermitAnswer(entry.getKey(), false, 0, "holder-gone"));
      }
    }
  }

  /** States the permits that this host awaits or holds to the hosts that issue them. */
  void tick() {
    ledger
        .dueStatements(lastPermitId, clock.getAsLong())
        .forEach((host, statement) -> peers.send(host, statement));
  }

  /** Handles the end of a host: its permits are void. */
  void endHost(String host) {
    removeHost(host);
    ledger.removeHost(host);
  }
}
