package org.lentilhinge.runtime.forward;

import org.lentilhinge.message.PeerMessage;

/** Sends messages to other hosts. Messages to this host itself are delivered as well. */
interface PeerSender {

  void send(String host, PeerMessage message);
}
