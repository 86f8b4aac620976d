package org.lentilhinge.runtime.peer;

import org.lentilhinge.message.PeerMessage;

/** A message that contains a text. */
record SampleText(String text) implements PeerMessage {}
