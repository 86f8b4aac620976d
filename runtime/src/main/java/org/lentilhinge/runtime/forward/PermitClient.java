package org.lentilhinge.runtime.forward;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.lentilhinge.permit.PermitAnswer;
import org.lentilhinge.permit.PermitRequest;
import org.lentilhinge.permit.PermitReturn;

/** Requests permits from engine schedulers, and releases them. */
final class PermitClient {

  private final PeerSender peers;
  private final Map<Long, PendingRequest> pendingRequests = new HashMap<>();
  private long lastPermitId;

  private record PendingRequest(String host, Consumer<PermitAnswer> callback) {}

  /**
   * Creates a client.
   *
   * @param peers sends the messages
   * @param initialPermitId the id before the first permit id, far from the ids of earlier
   *     incarnations of this host
   */
  PermitClient(PeerSender peers, long initialPermitId) {
    this.peers = peers;
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
    pendingRequests.put(request.permitId(), new PendingRequest(host, callback));
    peers.send(host, request);
  }

  void onAnswer(String host, PermitAnswer answer) {
    PendingRequest pending = pendingRequests.remove(answer.permitId());
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
    peers.send(host, new PermitReturn(permitId, outcome, firstEventMillis));
  }

  /** Answers all pending permit requests to a lost host with a refusal. */
  void removeHost(String host) {
    for (Map.Entry<Long, PendingRequest> entry : List.copyOf(pendingRequests.entrySet())) {
      if (entry.getValue().host().equals(host) && pendingRequests.remove(entry.getKey()) != null) {
        entry
            .getValue()
            .callback()
            .accept(new PermitAnswer(entry.getKey(), false, 0, "holder-gone"));
      }
    }
  }
}
