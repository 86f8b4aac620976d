package org.lentilhinge.runtime.forward;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.lentilhinge.permit.PermitAnswer;
import org.lentilhinge.permit.PermitAsk;
import org.lentilhinge.permit.PermitEnd;

/** Asks the desks of engines for permits, and gives them back. */
final class PermitClient {

  private final PeerSender peers;
  private final Map<Long, Open> open = new HashMap<>();
  private long number;

  private record Open(String host, Consumer<PermitAnswer> answered) {}

  /**
   * Makes a client.
   *
   * @param peers sends the asks
   * @param first a number far from those of this host's former lives
   */
  PermitClient(PeerSender peers, long first) {
    this.peers = peers;
    this.number = first;
  }

  /** Gets a number that no other ask of this life has. */
  long next() {
    number++;
    return number;
  }

  /** Asks a host. The answer comes once; a host that is gone answers with a refusal. */
  void ask(String host, PermitAsk ask, Consumer<PermitAnswer> answered) {
    open.put(ask.ask(), new Open(host, answered));
    peers.send(host, ask);
  }

  void answered(String host, PermitAnswer answer) {
    Open waiting = open.remove(answer.ask());
    if (waiting != null) {
      waiting.answered().accept(answer);
    } else if (answer.granted()) {
      // Nobody waits any more: the permit goes back at once.
      end(host, answer.ask(), PermitEnd.Ending.DONE, 0);
    }
  }

  /** Gives a permit back, or withdraws an ask. */
  void end(String host, long ask, PermitEnd.Ending ending, long firstMillis) {
    open.remove(ask);
    peers.send(host, new PermitEnd(ask, ending, firstMillis));
  }

  /** Answers all asks at a host that is gone. */
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
