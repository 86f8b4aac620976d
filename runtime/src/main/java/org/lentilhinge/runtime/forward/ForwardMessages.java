package org.lentilhinge.runtime.forward;

import org.lentilhinge.permit.EngineNotice;
import org.lentilhinge.permit.HostBeacon;
import org.lentilhinge.permit.OrderCount;
import org.lentilhinge.permit.PermitAnswer;
import org.lentilhinge.permit.PermitAsk;
import org.lentilhinge.permit.PermitEnd;
import org.lentilhinge.runtime.peer.MessageRegistry;

/** The type numbers of the messages of the forwarding path. A number never changes its meaning. */
final class ForwardMessages {

  private ForwardMessages() {}

  static MessageRegistry registry() {
    return new MessageRegistry()
        .register(1, HostBeacon.class)
        .register(2, EngineNotice.class)
        .register(3, PermitAsk.class)
        .register(4, PermitAnswer.class)
        .register(5, PermitEnd.class)
        .register(6, OrderCount.class);
  }
}
