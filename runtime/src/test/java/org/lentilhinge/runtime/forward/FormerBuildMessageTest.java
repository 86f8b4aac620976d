package org.lentilhinge.runtime.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import org.lentilhinge.allowance.AllowanceReport;
import org.lentilhinge.allowance.AllowanceUse;
import org.lentilhinge.message.PeerMessage;
import org.lentilhinge.overlay.HostHeartbeat;
import org.lentilhinge.overlay.HostRecord;
import org.lentilhinge.permit.EngineStatus;
import org.lentilhinge.permit.EngineStatuses;
import org.lentilhinge.permit.OrderCount;
import org.lentilhinge.permit.OwnerStatuses;
import org.lentilhinge.permit.OwnershipQuery;
import org.lentilhinge.runtime.peer.MessageCodec;
import org.lentilhinge.runtime.peer.MessageFormatException;
import org.lentilhinge.runtime.peer.MessageRegistry;
import org.testng.annotations.Test;

/** Tests the messages between hosts of this build and of the one without ownership queries. */
public class FormerBuildMessageTest {

  private final MessageCodec codec = new MessageCodec(ForwardMessages.registry());
  private final MessageCodec formerCodec =
      new MessageCodec(
          new MessageRegistry()
              .register(7, FormerHeartbeat.class)
              .register(11, FormerStatuses.class));

  /** A record of a host without the number of its protocol. */
  private record FormerRecord(
      String host, String zone, String region, long life, long version, boolean leaving) {}

  /** A heartbeat of the former build. */
  private record FormerHeartbeat(FormerRecord sender, long digest, boolean watched)
      implements PeerMessage {}

  /** A status of an engine without the fencing token. */
  private record FormerStatus(
      String incarnation,
      boolean owned,
      List<String> adapters,
      long backlogMillis,
      int availableSlots,
      int waitingAdapters) {}

  /** The statuses of one host of the former build. */
  private record FormerOwner(String host, List<FormerStatus> statuses, List<OrderCount> counts) {}

  /** Statuses on their way in the former build. */
  private record FormerStatuses(List<FormerOwner> owners, boolean relayed) implements PeerMessage {}

  // A host that cannot answer was asked, so that no engine could be taken over beside it.
  @Test
  public void hostOfFormerBuildIsNotExpectedToAnswer() throws MessageFormatException {
    FormerRecord sender = new FormerRecord("h", "a", "north", 1, 2, false);
    byte[] bytes = formerCodec.encode(new FormerHeartbeat(sender, 3, true));
    HostHeartbeat received = (HostHeartbeat) codec.decode(bytes).orElseThrow();
    assertEquals(received.sender().version(), 2);
    assertFalse(received.sender().answersOwnershipQueries());
  }

  @Test
  public void hostOfThisBuildIsExpectedToAnswer() throws MessageFormatException {
    HostRecord sender = new HostRecord("h", "a", "north", 1, 2, false);
    byte[] bytes = codec.encode(new HostHeartbeat(sender, 3, true));
    HostHeartbeat received = (HostHeartbeat) codec.decode(bytes).orElseThrow();
    assertTrue(received.sender().answersOwnershipQueries());
    FormerHeartbeat former = (FormerHeartbeat) formerCodec.decode(bytes).orElseThrow();
    assertEquals(former.sender(), new FormerRecord("h", "a", "north", 1, 2, false));
  }

  @Test
  public void claimOfFormerBuildStatesNoToken() throws MessageFormatException {
    FormerStatus status = new FormerStatus("e/1", true, List.of("x"), 4, 5, 6);
    FormerOwner owner = new FormerOwner("h", List.of(status), List.of());
    byte[] bytes = formerCodec.encode(new FormerStatuses(List.of(owner), true));
    EngineStatuses received = (EngineStatuses) codec.decode(bytes).orElseThrow();
    EngineStatus expected = new EngineStatus("e/1", true, List.of("x"), 4, 5, 6);
    assertEquals(received.owners().get(0).statuses(), List.of(expected));
  }

  @Test
  public void claimOfThisBuildIsReadByFormerBuild() throws MessageFormatException {
    EngineStatus status = new EngineStatus("e/1", true, List.of("x"), 4, 5, 6).withFencingToken(7);
    OwnerStatuses owner = new OwnerStatuses("h", List.of(status), List.of());
    byte[] bytes = codec.encode(new EngineStatuses(List.of(owner), false));
    FormerStatuses received = (FormerStatuses) formerCodec.decode(bytes).orElseThrow();
    assertEquals(
        received.owners().get(0).statuses(),
        List.of(new FormerStatus("e/1", true, List.of("x"), 4, 5, 6)));
  }

  // The use of customers is a component that hosts of the former build do not know.
  @Test
  public void useOfCustomersIsIgnoredByFormerBuild() throws MessageFormatException {
    AllowanceReport use = new AllowanceReport(9, 3, List.of(new AllowanceUse("acme", 7, 2, 9, 5)));
    OwnerStatuses owner = new OwnerStatuses("h", List.of(), List.of(), Optional.of(use));
    byte[] bytes = codec.encode(new EngineStatuses(List.of(owner), true));
    assertEquals(codec.decode(bytes).orElseThrow(), new EngineStatuses(List.of(owner), true));
    FormerStatuses received = (FormerStatuses) formerCodec.decode(bytes).orElseThrow();
    assertEquals(received.owners(), List.of(new FormerOwner("h", List.of(), List.of())));
  }

  @Test
  public void hostOfFormerBuildStatesNoUse() throws MessageFormatException {
    FormerOwner owner = new FormerOwner("h", List.of(), List.of());
    byte[] bytes = formerCodec.encode(new FormerStatuses(List.of(owner), true));
    EngineStatuses received = (EngineStatuses) codec.decode(bytes).orElseThrow();
    assertEquals(received.owners().get(0).use(), Optional.empty());
  }

  @Test
  public void queryIsIgnoredByFormerBuild() throws MessageFormatException {
    byte[] bytes = codec.encode(new OwnershipQuery("a", "b", "e/1", 1, 0, 2));
    assertTrue(formerCodec.decode(bytes).isEmpty());
  }
}
