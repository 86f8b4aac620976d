package org.lentilhinge.runtime.forward;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.lentilhinge.permit.PermitAnswer;
import org.lentilhinge.permit.PermitAsk;
import org.lentilhinge.permit.PermitEnd;

/** Requests permits from engine schedulers, and releases them. */
final class PermitClient {

  private final PeerSender peers;
  private final Map<Long, Open> open = new HashMap<>();
  private long number;

  private record Open(String host, Consumer<PermitAnswer> answered) {}

  /**
   * Creates a client.
   *
   * @param peers sends the messages
   * @param first the start of the permit ids, far from those of earlier incarnations of this host
   */
  PermitClient(PeerSender peers, long first) {
    this.peers = peers;
    this.number = first;
  }

  /** Returns a permit id that is unique within this incarnation of the host. */
  long next() {
    number++;
    return number;
  }

  /**
   * Sends a permit request to a host. The callback is called once, with a refusal if the connection
   * to the host is lost.
   */
  void ask(String host, PermitAsk request, Consumer<PermitAnswer> callback) {
    open.put(request.ask(), new Open(host, callback));
    peers.send(host, request);
  }

  void answered(String host, PermitAnswer answer) {
    Open pending = open.remove(answer.ask());
    if (pending != null) {
      pending.answered().accept(answer);
    } else if (answer.granted()) {
      // The request has been withdrawn: the permit is released at once.
      end(host, answer.ask(), PermitEnd.Ending.DONE, 0);
    }
  }

  /** Releases a permit, or withdraws a permit request. */
  void end(String host, long permitId, PermitEnd.Ending outcome, long firstEventMillis) {
    open.remove(permitId);
    peers.send(host, new PermitEnd(permitId, outcome, firstEventMillis));
  }

  /** Answers all pending permit requests to a lost host with a refusal. */
  void hostGone(String host) {
    for (Map.Entry<Long, Open> entry : List.copyOf(open.entrySet())) {
      if (entry.getValue().host().equals(host) && open.remove(entry.getKey()) != null) {
        entry
            .getValue()
            .answered()
            .accept(new PermitAnswer(entry.getKey(), false, 0, "holder-gone"));
      }
    }
  }
}
