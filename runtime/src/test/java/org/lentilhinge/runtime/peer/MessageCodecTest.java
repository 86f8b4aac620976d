package org.lentilhinge.runtime.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import org.lentilhinge.identity.AdapterId;
import org.lentilhinge.identity.AdapterVersion;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.limit.RequestLimit;
import org.lentilhinge.message.PeerMessage;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.testng.annotations.Test;

/**
 * Tests that messages are unchanged after encoding and decoding, and that invalid bytes are
 * rejected with a {@link MessageFormatException}.
 */
public class MessageCodecTest {

  private static final int TAG = 7;
  private static final long SEED = 41;
  private static final SampleMessage SAMPLE =
      new SampleMessage(
          -3,
          Long.MAX_VALUE,
          0.25,
          true,
          "Grün",
          Optional.of(new AdapterVersion(new AdapterId("drains"), 4)),
          OptionalInt.of(9),
          OptionalLong.empty(),
          List.of(SampleMessage.Colour.GREEN, SampleMessage.Colour.RED),
          Set.of(5),
          Map.of("a", new AdapterVersion(new AdapterId("lamps"), 1)),
          new SampleMessage.Square(12, "roof"));

  record Older(int number) implements PeerMessage {}

  record Newer(int number, OptionalLong moment, List<String> texts, long time)
      implements PeerMessage {}

  record OlderLimit(double perSecond) {}

  record OlderLimits(List<OlderLimit> limits) implements PeerMessage {}

  record Limits(List<RequestLimit> limits) implements PeerMessage {}

  record Texts(List<String> texts) implements PeerMessage {}

  record Named(HostId host) implements PeerMessage {}

  private static MessageCodec codec(Class<? extends PeerMessage> type) {
    return new MessageCodec(new MessageRegistry().register(TAG, type));
  }

  @Test
  public void encodesAndDecodesEachType() throws MessageFormatException {
    MessageCodec codec = codec(SampleMessage.class);
    assertEquals(codec.decode(codec.encode(SAMPLE)), Optional.of(SAMPLE));
  }

  @Test
  public void longMessagesAreCompressed() throws MessageFormatException {
    MessageCodec codec = codec(Texts.class);
    Texts texts = new Texts(Collections.nCopies(5_000, "drain survey"));
    byte[] bytes = codec.encode(texts);
    assertTrue(bytes.length < 5_000, bytes.length + " bytes");
    assertEquals(codec.decode(bytes), Optional.of(texts));
  }

  @Test
  public void damagedCompressedMessagesAreRejected() {
    MessageCodec codec = codec(Texts.class);
    byte[] bytes = codec.encode(new Texts(Collections.nCopies(5_000, "drain survey")));
    for (int index = 8; index < bytes.length; index++) {
      byte[] damaged = bytes.clone();
      damaged[index] ^= 0x55;
      assertThrows(MessageFormatException.class, () -> codec.decode(damaged));
    }
  }

  @Test
  public void compressedMessagesWithoutEndAreRejected() {
    byte[] bytes = MessageCompression.compress(new byte[32_000_000]);
    assertThrows(MessageFormatException.class, () -> MessageCompression.decompress(bytes));
  }

  @Test
  public void skipsComponentsOfNewerSenders() throws MessageFormatException {
    Newer sent = new Newer(3, OptionalLong.of(8), List.of("x", "y"), 6);
    byte[] bytes = codec(Newer.class).encode(sent);
    assertEquals(codec(Older.class).decode(bytes), Optional.of(new Older(3)));
  }

  @Test
  public void defaultsComponentsMissingFromOlderSenders() throws MessageFormatException {
    byte[] bytes = codec(Older.class).encode(new Older(3));
    Newer expected = new Newer(3, OptionalLong.empty(), List.of(), 0);
    assertEquals(codec(Newer.class).decode(bytes), Optional.of(expected));
  }

  // The limit of a host of an earlier build was read as that of an endpoint that can refuse
  // nothing.
  @Test
  public void limitOfOlderSenderStatesNoRefusals() throws MessageFormatException {
    byte[] bytes = codec(OlderLimits.class).encode(new OlderLimits(List.of(new OlderLimit(40))));
    Limits expected = new Limits(List.of(RequestLimit.ofRate(40)));
    assertEquals(codec(Limits.class).decode(bytes), Optional.of(expected));
  }

  @Test
  public void rejectsValuesThatTheRecordRejects() throws Exception {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packInt(TAG).packArrayHeader(1).packArrayHeader(1).packString("no spaces");
      byte[] bytes = packer.toByteArray();
      assertThrows(MessageFormatException.class, () -> codec(Named.class).decode(bytes));
    }
  }

  @Test
  public void ignoresUnknownMessageTypes() throws MessageFormatException {
    byte[] bytes = codec(Older.class).encode(new Older(3));
    MessageCodec other = new MessageCodec(new MessageRegistry().register(8, Older.class));
    assertEquals(other.decode(bytes), Optional.empty());
  }

  @Test
  public void rejectsLengthsThatExceedTheFrame() throws Exception {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packInt(TAG).packArrayHeader(1).packRawStringHeader(Integer.MAX_VALUE);
      byte[] bytes = packer.toByteArray();
      MessageFormatException rejection =
          expectThrows(MessageFormatException.class, () -> codec(SampleText.class).decode(bytes));
      assertTrue(rejection.getMessage().contains("exceeds the frame"), rejection.getMessage());
    }
  }

  @Test
  public void rejectsEachTruncation() {
    MessageCodec codec = codec(SampleMessage.class);
    byte[] encoded = codec.encode(SAMPLE);
    for (int length = 0; length < encoded.length; length++) {
      byte[] part = Arrays.copyOf(encoded, length);
      assertThrows(MessageFormatException.class, () -> codec.decode(part));
    }
  }

  @Test
  public void rejectsCorruptedBytesWithFormatException() {
    MessageCodec codec = codec(SampleMessage.class);
    byte[] encoded = codec.encode(SAMPLE);
    Random random = new Random(SEED);
    int rejected = 0;
    for (int round = 0; round < 20_000; round++) {
      byte[] damaged = encoded.clone();
      for (int change = 0; change <= round % 4; change++) {
        damaged[random.nextInt(damaged.length)] = (byte) random.nextInt();
      }
      try {
        codec.decode(damaged);
      } catch (MessageFormatException exception) {
        rejected++;
      }
    }
    assertTrue(rejected > 1_000, "only " + rejected + " rejected");
  }

  @Test
  public void rejectsUnsupportedTypes() {
    record Unfit(Object anything) implements PeerMessage {}

    assertThrows(IllegalArgumentException.class, () -> codec(Unfit.class));
  }
}
