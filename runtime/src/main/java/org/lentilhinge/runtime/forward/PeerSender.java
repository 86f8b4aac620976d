package org.lentilhinge.runtime.forward;

import org.lentilhinge.message.PeerMessage;

/** Sends messages to other hosts; one to this host itself arrives, too. */
interface PeerSender {

  void send(String host, PeerMessage message);
}
