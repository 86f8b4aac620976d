package org.lentilhinge.runtime.peer;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import org.lentilhinge.identity.AdapterVersion;
import org.lentilhinge.message.PeerMessage;

/** A message with components of the types that the codec supports. */
record SampleMessage(
    int count,
    long time,
    double weight,
    boolean flag,
    String text,
    Optional<AdapterVersion> version,
    OptionalInt number,
    OptionalLong moment,
    List<Colour> colours,
    Set<Integer> numbers,
    Map<String, AdapterVersion> named,
    Shape shape)
    implements PeerMessage {

  enum Colour {
    RED,
    GREEN
  }

  sealed interface Shape {}

  record Circle(int radius) implements Shape {}

  record Square(long side, String name) implements Shape {}
}
