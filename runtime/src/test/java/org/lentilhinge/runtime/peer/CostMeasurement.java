package org.lentilhinge.runtime.peer;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.lentilhinge.attempt.RetryBudget;
import org.lentilhinge.booking.BookingCall;
import org.lentilhinge.booking.BookingChallenge;
import org.lentilhinge.booking.BookingCommand;
import org.lentilhinge.booking.BookingForward;
import org.lentilhinge.booking.BookingKey;
import org.lentilhinge.booking.BookingLimits;
import org.lentilhinge.booking.BookingOutcome;
import org.lentilhinge.booking.BookingPartition;
import org.lentilhinge.booking.BookingPartitionOwner;
import org.lentilhinge.booking.BookingReply;
import org.lentilhinge.booking.BookingResponse;
import org.lentilhinge.booking.PartitionAuthority;
import org.lentilhinge.booking.ServiceResult;
import org.lentilhinge.configuration.Deduplication;
import org.lentilhinge.configuration.Service;
import org.lentilhinge.configuration.ServiceInstance;
import org.lentilhinge.identity.AttemptId;
import org.lentilhinge.identity.CallerId;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.identity.HostIncarnation;
import org.lentilhinge.identity.RequestId;
import org.lentilhinge.identity.ServiceId;
import org.lentilhinge.identity.ZoneId;
import org.lentilhinge.message.PeerMessage;

/** Measures the memory and time that bookings take, and the size and codec time of messages. */
public final class CostMeasurement {

  private static final int ROUNDS = 5;
  private static final int MESSAGES = 200_000;
  private static final ZoneId ZONE = new ZoneId("north");
  private static final HostIncarnation OWNER =
      new HostIncarnation(new HostId("amber"), 1_700_000_000_000L);
  private static final HostIncarnation GATEWAY =
      new HostIncarnation(new HostId("basalt"), 1_700_000_000_000L);
  private static final Service SERVICE =
      new Service(
          new ServiceId("orders"),
          ZONE,
          List.of(new ServiceInstance(new EndpointId("orders-1"), ZONE, "192.0.2.1:80")),
          List.of(),
          Set.of(),
          Deduplication.NONE);

  private CostMeasurement() {}

  /**
   * Runs the measurements and prints their results.
   *
   * @param arguments ignored
   * @throws MessageFormatException if the codec cannot decode a message that it has encoded
   */
  public static void main(String[] arguments) throws MessageFormatException {
    for (int keyCount : new int[] {10_000, 20_000, 40_000}) {
      measureState(keyCount);
    }
    MessageCodec codec =
        new MessageCodec(
            new MessageRegistry()
                .register(1, BookingForward.class)
                .register(2, BookingReply.class)
                .register(3, BookingChallenge.class));
    BookingOutcome outcome = BookingOutcome.ran(response());
    measureCodec(codec, forward(1));
    measureCodec(codec, new BookingReply(new RequestId(GATEWAY, 1), outcome, 0));
    measureCodec(codec, new BookingChallenge(new RequestId(GATEWAY, 1), 1));
  }

  private static void measureState(int keyCount) {
    List<BookingForward> forwards = new ArrayList<>();
    double nanos = 0;
    long bytes = 0;
    for (int round = 0; round < ROUNDS; round++) {
      forwards.clear();
      for (int number = 0; number < keyCount; number++) {
        forwards.add(forward(number));
      }
      long usedBeforeBytes = usedBytes();
      long start = System.nanoTime();
      BookingPartitionOwner owner = createOwner();
      forwards.forEach(forward -> book(owner, forward));
      nanos = (System.nanoTime() - start) / (double) keyCount;
      bytes = usedBytes() - usedBeforeBytes;
      if (owner.size() != forwards.size()) {
        throw new IllegalStateException(owner.size() + " keys");
      }
    }
    System.out.printf(
        Locale.ROOT,
        "keys=%d bytesPerKeyBesideTheKeyItself=%d nanosPerBooking=%.0f%n",
        keyCount,
        bytes / keyCount,
        nanos);
  }

  private static long usedBytes() {
    System.gc();
    System.gc();
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }

  private static BookingPartitionOwner createOwner() {
    long[] sequence = new long[1];
    return new BookingPartitionOwner(
        OWNER,
        ZONE,
        BookingLimits.DEFAULT,
        new PermanentOwner(),
        service -> Optional.of(SERVICE),
        new RetryBudget(0.1, 10),
        () -> new AttemptId(new RequestId(OWNER, sequence[0]++), 1));
  }

  private static BookingForward forward(int number) {
    String value = String.format(Locale.ROOT, "0f8fad5b-d9cb-469f-a165-%012d", number);
    return new BookingForward(
        new RequestId(GATEWAY, number),
        new BookingKey(SERVICE.id(), new CallerId("counter"), value),
        new BookingCall("POST", "/orders", "application/json", new byte[300]),
        0);
  }

  private static BookingResponse response() {
    return new BookingResponse(201, "application/json", new byte[64]);
  }

  private static void book(BookingPartitionOwner owner, BookingForward forward) {
    long nowMillis = BookingLimits.DEFAULT.quarantineMillis();
    List<BookingCommand> commands = owner.onMessage(GATEWAY.host(), forward, nowMillis);
    BookingCommand.CallService call = (BookingCommand.CallService) commands.get(0);
    owner.onAttemptEnded(call.attempt(), ServiceResult.answered(response()), nowMillis);
  }

  private static void measureCodec(MessageCodec codec, PeerMessage message)
      throws MessageFormatException {
    byte[] bytes = codec.encode(message);
    double encodeNanos = 0;
    double decodeNanos = 0;
    long used = 0;
    for (int round = 0; round < ROUNDS; round++) {
      long start = System.nanoTime();
      for (int number = 0; number < MESSAGES; number++) {
        used += codec.encode(message).length;
      }
      long middle = System.nanoTime();
      for (int number = 0; number < MESSAGES; number++) {
        used += codec.decode(bytes).isPresent() ? 1 : 0;
      }
      encodeNanos = (middle - start) / (double) MESSAGES;
      decodeNanos = (System.nanoTime() - middle) / (double) MESSAGES;
    }
    System.out.printf(
        Locale.ROOT,
        "message=%s payloadBytes=%d frameBytes=%d encodeNanos=%.0f decodeNanos=%.0f used=%d%n",
        message.getClass().getSimpleName(),
        bytes.length,
        bytes.length + Integer.BYTES + 1,
        encodeNanos,
        decodeNanos,
        used);
  }

  /** An authority that has owned every partition since time 0. */
  private static final class PermanentOwner implements PartitionAuthority {

    @Override
    public boolean mayRun(BookingPartition partition, long nowMillis) {
      return true;
    }

    @Override
    public OptionalLong ownedSinceMillis(BookingPartition partition) {
      return OptionalLong.of(0);
    }
  }
}
