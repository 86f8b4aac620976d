package org.lentilhinge.runtime.forward;

import org.lentilhinge.permit.EngineStatus;
import org.lentilhinge.permit.HostHeartbeat;
import org.lentilhinge.permit.OrderCount;
import org.lentilhinge.permit.PermitAnswer;
import org.lentilhinge.permit.PermitRequest;
import org.lentilhinge.permit.PermitReturn;
import org.lentilhinge.runtime.peer.MessageRegistry;

/** The tags of the messages of the forwarding path. A tag is never reused for another type. */
final class ForwardMessages {

  private ForwardMessages() {}

  static MessageRegistry registry() {
    return new MessageRegistry()
        .register(1, HostHeartbeat.class)
        .register(2, EngineStatus.class)
        .register(3, PermitRequest.class)
        .register(4, PermitAnswer.class)
        .register(5, PermitReturn.class)
        .register(6, OrderCount.class);
  }
}
