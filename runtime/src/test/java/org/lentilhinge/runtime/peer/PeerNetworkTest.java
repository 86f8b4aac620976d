package org.lentilhinge.runtime.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.security.SecureRandom;
import java.util.Arrays;
import java.util.List;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the links between hosts over the loopback interface on virtual time. */
public class PeerNetworkTest {

  private static final int PATIENCE_MILLIS = 20_000;

  private PeerFixture fixture;
  private PeerFixture.Member amber;
  private PeerFixture.Member basalt;

  @BeforeMethod
  public void start() {
    fixture = new PeerFixture();
    amber = fixture.start("amber");
    basalt = fixture.start("basalt");
  }

  @AfterMethod
  public void close() {
    fixture.close();
  }

  private void introduce() {
    fixture.introduceAll();
    assertTrue(amber.nextChange().up());
    assertTrue(basalt.nextChange().up());
  }

  private CuttableProxy introduceThroughProxy() {
    CuttableProxy proxy = new CuttableProxy(fixture.vertx(), basalt.port);
    int port = PeerFixture.await(proxy.start());
    basalt.network.peers(List.of(PeerFixture.address("amber", amber.port)));
    amber.network.peers(List.of(PeerFixture.address("basalt", port)));
    assertTrue(amber.nextChange().up());
    return proxy;
  }

  @Test
  public void carriesMessagesBothWaysInOrder() {
    introduce();
    for (int number = 0; number < 1_000; number++) {
      amber.say("basalt", "to basalt " + number);
      basalt.say("amber", "to amber " + number);
    }
    for (int number = 0; number < 1_000; number++) {
      assertEquals(basalt.nextText(), "to basalt " + number);
      assertEquals(amber.nextText(), "to amber " + number);
    }
  }

  @Test
  public void deliversToTheOwnHostWithoutLink() {
    amber.say("amber", "alone");
    assertEquals(amber.nextText(), "alone");
    assertEquals(amber.metrics.sentBytes(), 0);
  }

  @Test
  public void dropsAndCountsWhatIsSentToAnUnknownHost() {
    amber.say("basalt", "lost");
    PeerFixture.eventually(() -> amber.metrics.droppedMessages() == 1, "a counted dropped message");
  }

  @Test
  public void dropsAndCountsMessageLongerThanFrame() {
    introduce();
    amber.say("basalt", "x".repeat(100_001));
    amber.say("basalt", "short");
    assertEquals(basalt.nextText(), "short");
    assertEquals(amber.metrics.droppedMessages(), 1);
  }

  @Test
  public void bringsLinkBackWhenThePeerIsBack() {
    introduce();
    amber.network.peers(List.of());
    assertEquals(amber.nextChange().failure(), LinkFailure.STOPPED);
    fixture.introduceAll();
    assertTrue(amber.nextChange().up());
    amber.say("basalt", "again");
    assertEquals(basalt.nextText(), "again");
  }

  @Test
  public void keepsTheLinkThatAnswersItsProbes() {
    introduce();
    for (int probe = 0; probe < 10; probe++) {
      long receivedBefore = amber.metrics.receivedBytes();
      fixture.advance(PeerTimings.DEFAULT.heartbeatMillis());
      PeerFixture.eventually(() -> amber.metrics.receivedBytes() > receivedBefore + 9, "a pong");
    }
    assertEquals(amber.metrics.count(LinkFailure.SILENT), 0);
    assertEquals(amber.metrics.linksUp(), 1);
  }

  @Test
  public void replacesTheConnectionThatFellSilent() {
    CuttableProxy proxy = introduceThroughProxy();
    proxy.cut();
    assertSilentThenReplaced(proxy);
  }

  @Test
  public void replacesTheConnectionThatIsCutOneWay() {
    CuttableProxy proxy = introduceThroughProxy();
    proxy.cutForward();
    assertSilentThenReplaced(proxy);
  }

  private void assertSilentThenReplaced(CuttableProxy proxy) {
    fixture.advance(PeerTimings.DEFAULT.silenceMillis() + 100);
    assertEquals(amber.nextChange().failure(), LinkFailure.SILENT);
    fixture.advance(PeerTimings.DEFAULT.minimumBackoffMillis() * 2);
    assertTrue(amber.nextChange().up());
    assertEquals(proxy.connections(), 2);
    amber.say("basalt", "through the new one");
    assertEquals(basalt.nextText(), "through the new one");
  }

  @Test
  public void refusesHostWithAnotherSecret() {
    PeerFixture.Member clay = fixture.start("clay", new byte[] {9}, 10);
    fixture.introduceAll();
    PeerFixture.eventually(
        () -> clay.metrics.count(LinkFailure.WRONG_SECRET) >= 2, "two rejected handshakes");
    assertEquals(clay.metrics.linksUp(), 0);
  }

  @Test
  public void refusesHostThatIsNotListed() {
    basalt.network.peers(List.of(PeerFixture.address("basalt", basalt.port)));
    amber.network.peers(List.of(PeerFixture.address("basalt", basalt.port)));
    PeerFixture.eventually(
        () -> basalt.metrics.count(LinkFailure.UNKNOWN_PEER) == 1, "a rejected handshake");
    assertEquals(amber.metrics.linksUp(), 0);
  }

  @Test
  public void refusesAnotherHostInPlaceOfTheExpectedOne() {
    basalt.network.peers(List.of(PeerFixture.address("amber", amber.port)));
    amber.network.peers(List.of(PeerFixture.address("clay", basalt.port)));
    PeerFixture.eventually(
        () -> amber.metrics.count(LinkFailure.UNKNOWN_PEER) == 2,
        "a rejected handshake in each direction");
  }

  @Test
  public void closesOnlyTheLinkThatBringsAnOversizedFrame() throws IOException {
    introduce();
    assertClosedAfter(LinkFailure.OVERSIZED_FRAME, out -> out.writeInt(Integer.MAX_VALUE));
  }

  @Test
  public void closesOnlyTheLinkThatBringsGarbage() throws IOException {
    introduce();
    assertClosedAfter(
        LinkFailure.BAD_FRAME,
        out -> {
          out.writeInt(3);
          out.write(new byte[] {FrameKind.HELLO.mark(), 77, 77});
        });
  }

  @Test
  public void closesTheLinkThatSpeaksBeforeItsProof() throws IOException {
    introduce();
    byte[] message =
        new MessageCodec(new MessageRegistry().register(1, SampleText.class))
            .encode(new SampleText("unproved"));
    assertClosedAfter(LinkFailure.BAD_FRAME, out -> writeFrame(out, FrameKind.MESSAGE, message));
    assertTrue(basalt.isQuiet());
  }

  @Test
  public void closesTheLinkWithTruncatedHello() throws IOException {
    try (Socket socket = connect()) {
      DataOutputStream out = new DataOutputStream(socket.getOutputStream());
      out.writeInt(100);
      out.write(new byte[] {FrameKind.HELLO.mark(), 1, 2});
      out.flush();
      PeerFixture.eventually(() -> basalt.metrics.receivedBytes() == 7, "the truncated frame");
      fixture.advance(PeerTimings.DEFAULT.handshakeMillis() + 100);
      assertEquals(socket.getInputStream().read(), -1);
    }
    assertEquals(basalt.metrics.count(LinkFailure.HANDSHAKE_TIMEOUT), 1);
  }

  @Test
  public void refusesReplayedProof() throws IOException, MessageFormatException {
    introduce();
    LinkAuthenticator authenticator = new LinkAuthenticator(PeerFixture.SECRET, new SecureRandom());
    byte[] hello = authenticator.hello(amber.settings);
    byte[] recordedSignature;
    try (Socket first = connect()) {
      byte[] welcome = greet(first, hello);
      recordedSignature =
          authenticator.proof(
              LinkAuthenticator.DIALER, hello, authenticator.readWelcome(welcome).hello());
    }
    try (Socket second = connect()) {
      greet(second, hello);
      writeFrame(
          new DataOutputStream(second.getOutputStream()), FrameKind.PROOF, recordedSignature);
      assertEquals(second.getInputStream().read(), -1);
    }
    assertEquals(basalt.metrics.count(LinkFailure.WRONG_SECRET), 1);
  }

  private Socket connect() throws IOException {
    Socket socket = new Socket("127.0.0.1", basalt.port);
    socket.setSoTimeout(PATIENCE_MILLIS);
    return socket;
  }

  private static byte[] greet(Socket socket, byte[] hello) throws IOException {
    writeFrame(new DataOutputStream(socket.getOutputStream()), FrameKind.HELLO, hello);
    DataInputStream in = new DataInputStream(socket.getInputStream());
    byte[] frame = new byte[in.readInt()];
    in.readFully(frame);
    assertEquals(frame[0], FrameKind.WELCOME.mark());
    return Arrays.copyOfRange(frame, 1, frame.length);
  }

  private static void writeFrame(DataOutputStream out, FrameKind kind, byte[] payload)
      throws IOException {
    out.writeInt(payload.length + 1);
    out.write(kind.mark());
    out.write(payload);
    out.flush();
  }

  private void assertClosedAfter(LinkFailure failure, Writing writing) throws IOException {
    try (Socket socket = connect()) {
      DataOutputStream out = new DataOutputStream(socket.getOutputStream());
      writing.write(out);
      out.flush();
      assertEquals(socket.getInputStream().read(), -1);
    }
    assertEquals(basalt.metrics.count(failure), 1);
    amber.say("basalt", "unharmed");
    assertEquals(basalt.nextText(), "unharmed");
    assertEquals(amber.metrics.linksUp(), 1);
  }

  private interface Writing {
    void write(DataOutputStream out) throws IOException;
  }
}
