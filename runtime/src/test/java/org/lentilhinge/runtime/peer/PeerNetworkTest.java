package org.lentilhinge.runtime.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.security.SecureRandom;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the links between hosts over the loopback interface on virtual time. */
public class PeerNetworkTest {

  private static final int TIMEOUT_MILLIS = 20_000;

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

  private void connectMembers() {
    fixture.configureAllPeers();
    assertTrue(amber.nextChange().up());
    assertTrue(basalt.nextChange().up());
  }

  private CuttableProxy connectThroughProxy() {
    CuttableProxy proxy = new CuttableProxy(fixture.vertx(), basalt.port);
    int port = PeerFixture.await(proxy.start());
    basalt.network.updatePeers(List.of(PeerFixture.address("amber", amber.port)));
    amber.network.updatePeers(List.of(PeerFixture.address("basalt", port)));
    assertTrue(amber.nextChange().up());
    return proxy;
  }

  @Test
  public void deliversMessagesInOrderInBothDirections() {
    connectMembers();
    for (int number = 0; number < 1_000; number++) {
      amber.send("basalt", "to basalt " + number);
      basalt.send("amber", "to amber " + number);
    }
    for (int number = 0; number < 1_000; number++) {
      assertEquals(basalt.nextText(), "to basalt " + number);
      assertEquals(amber.nextText(), "to amber " + number);
    }
  }

  @Test
  public void deliversToOwnHostWithoutLink() {
    amber.send("amber", "alone");
    assertEquals(amber.nextText(), "alone");
    assertEquals(amber.metrics.sentBytes(), 0);
  }

  @Test
  public void dropsAndCountsMessageToUnknownHost() {
    amber.send("basalt", "lost");
    PeerFixture.eventually(() -> amber.metrics.droppedMessages() == 1, "a counted dropped message");
  }

  @Test
  public void tellsRefusedConnectionFromOneThatCannotBeEstablished() throws IOException {
    int unusedPort;
    try (ServerSocket socket = new ServerSocket(0)) {
      unusedPort = socket.getLocalPort();
    }
    amber.network.updatePeers(List.of(PeerFixture.address("cinder", unusedPort)));
    fixture.advance(1);
    PeerFixture.eventually(
        () -> amber.metrics.endedLinks(LinkFailure.REFUSED) > 0, "a refused connection");
    assertEquals(amber.metrics.endedLinks(LinkFailure.UNREACHABLE), 0);
    // The next attempt is made after a pause, in which messages are dropped.
    amber.send("cinder", "lost");
    assertEquals(amber.nextChange().failure(), LinkFailure.REFUSED);
  }

  private static String incompressibleText(int length) {
    Random random = new Random(1);
    StringBuilder text = new StringBuilder();
    for (int index = 0; index < length; index++) {
      text.append((char) ('!' + random.nextInt(90)));
    }
    return text.toString();
  }

  @Test
  public void dropsAndCountsMessageLongerThanFrame() {
    connectMembers();
    amber.send("basalt", incompressibleText(200_000));
    amber.send("basalt", "short");
    assertEquals(basalt.nextText(), "short");
    assertEquals(amber.metrics.droppedMessages(), 1);
  }

  @Test
  public void reconnectsWhenPeerIsListedAgain() {
    connectMembers();
    amber.network.updatePeers(List.of());
    assertEquals(amber.nextChange().failure(), LinkFailure.STOPPED);
    fixture.configureAllPeers();
    assertTrue(amber.nextChange().up());
    amber.send("basalt", "again");
    assertEquals(basalt.nextText(), "again");
  }

  @Test
  public void keepsLinkWhosePeerRespondsToPings() {
    connectMembers();
    for (int probe = 0; probe < 10; probe++) {
      long receivedBefore = amber.metrics.receivedBytes();
      fixture.advance(PeerTimings.DEFAULT.pingIntervalMillis());
      PeerFixture.eventually(() -> amber.metrics.receivedBytes() > receivedBefore + 9, "a pong");
    }
    assertEquals(amber.metrics.endedLinks(LinkFailure.SILENT), 0);
    assertEquals(amber.metrics.linksUp(), 1);
  }

  @Test
  public void replacesSilentConnection() {
    CuttableProxy proxy = connectThroughProxy();
    proxy.cut();
    assertSilentThenReplaced(proxy);
  }

  @Test
  public void replacesConnectionInterruptedInOneDirection() {
    CuttableProxy proxy = connectThroughProxy();
    proxy.cutForward();
    assertSilentThenReplaced(proxy);
  }

  private void assertSilentThenReplaced(CuttableProxy proxy) {
    fixture.advance(PeerTimings.DEFAULT.silenceTimeoutMillis() + 100);
    assertEquals(amber.nextChange().failure(), LinkFailure.SILENT);
    fixture.advance(PeerTimings.DEFAULT.minimumBackoffMillis() * 2);
    assertTrue(amber.nextChange().up());
    assertEquals(proxy.connections(), 2);
    amber.send("basalt", "through the new connection");
    assertEquals(basalt.nextText(), "through the new connection");
  }

  @Test
  public void rejectsHostWithAnotherSecret() {
    PeerFixture.Member clay = fixture.start("clay", new byte[] {9}, 10);
    fixture.configureAllPeers();
    PeerFixture.eventually(
        () -> clay.metrics.endedLinks(LinkFailure.WRONG_SECRET) >= 2, "two rejected handshakes");
    assertEquals(clay.metrics.linksUp(), 0);
  }

  @Test
  public void rejectsUnlistedHost() {
    basalt.network.updatePeers(List.of(PeerFixture.address("basalt", basalt.port)));
    amber.network.updatePeers(List.of(PeerFixture.address("basalt", basalt.port)));
    PeerFixture.eventually(
        () -> basalt.metrics.endedLinks(LinkFailure.UNKNOWN_PEER) == 1, "a rejected handshake");
    assertEquals(amber.metrics.linksUp(), 0);
  }

  @Test
  public void rejectsUnexpectedHostAtPeerAddress() {
    basalt.network.updatePeers(List.of(PeerFixture.address("amber", amber.port)));
    amber.network.updatePeers(List.of(PeerFixture.address("clay", basalt.port)));
    PeerFixture.eventually(
        () -> amber.metrics.endedLinks(LinkFailure.UNKNOWN_PEER) == 2,
        "a rejected handshake in each direction");
  }

  @Test
  public void closesOnlyLinkWithOversizedFrame() throws IOException {
    connectMembers();
    assertClosedAfter(LinkFailure.OVERSIZED_FRAME, out -> out.writeInt(Integer.MAX_VALUE));
  }

  @Test
  public void closesOnlyLinkWithMalformedFrame() throws IOException {
    connectMembers();
    assertClosedAfter(
        LinkFailure.BAD_FRAME,
        out -> {
          out.writeInt(3);
          out.write(new byte[] {FrameKind.HELLO.code(), 77, 77});
        });
  }

  @Test
  public void closesLinkWithMessageBeforeHandshake() throws IOException {
    connectMembers();
    byte[] message =
        new MessageCodec(new MessageRegistry().register(1, SampleText.class))
            .encode(new SampleText("unauthenticated"));
    assertClosedAfter(LinkFailure.BAD_FRAME, out -> writeFrame(out, FrameKind.MESSAGE, message));
    assertTrue(basalt.hasNoMessages());
  }

  @Test
  public void closesLinkWithTruncatedHello() throws IOException {
    try (Socket socket = connect()) {
      DataOutputStream out = new DataOutputStream(socket.getOutputStream());
      out.writeInt(100);
      out.write(new byte[] {FrameKind.HELLO.code(), 1, 2});
      out.flush();
      PeerFixture.eventually(() -> basalt.metrics.receivedBytes() == 7, "the truncated frame");
      fixture.advance(PeerTimings.DEFAULT.handshakeTimeoutMillis() + 100);
      assertEquals(socket.getInputStream().read(), -1);
    }
    assertEquals(basalt.metrics.endedLinks(LinkFailure.HANDSHAKE_TIMEOUT), 1);
  }

  @Test
  public void rejectsReplayedSignature() throws IOException, MessageFormatException {
    connectMembers();
    LinkAuthenticator authenticator = new LinkAuthenticator(PeerFixture.SECRET, new SecureRandom());
    byte[] hello = authenticator.hello(amber.settings);
    byte[] recordedSignature;
    try (Socket first = connect()) {
      byte[] welcome = exchangeHello(first, hello);
      recordedSignature =
          authenticator.sign(
              LinkAuthenticator.DIALER, hello, authenticator.readWelcome(welcome).hello());
    }
    try (Socket second = connect()) {
      exchangeHello(second, hello);
      writeFrame(
          new DataOutputStream(second.getOutputStream()), FrameKind.PROOF, recordedSignature);
      assertEquals(second.getInputStream().read(), -1);
    }
    assertEquals(basalt.metrics.endedLinks(LinkFailure.WRONG_SECRET), 1);
  }

  private Socket connect() throws IOException {
    Socket socket = new Socket("127.0.0.1", basalt.port);
    socket.setSoTimeout(TIMEOUT_MILLIS);
    return socket;
  }

  private static byte[] exchangeHello(Socket socket, byte[] hello) throws IOException {
    writeFrame(new DataOutputStream(socket.getOutputStream()), FrameKind.HELLO, hello);
    DataInputStream in = new DataInputStream(socket.getInputStream());
    byte[] frame = new byte[in.readInt()];
    in.readFully(frame);
    assertEquals(frame[0], FrameKind.WELCOME.code());
    return Arrays.copyOfRange(frame, 1, frame.length);
  }

  private static void writeFrame(DataOutputStream out, FrameKind kind, byte[] payload)
      throws IOException {
    out.writeInt(payload.length + 1);
    out.write(kind.code());
    out.write(payload);
    out.flush();
  }

  private void assertClosedAfter(LinkFailure failure, FrameWriter writer) throws IOException {
    try (Socket socket = connect()) {
      DataOutputStream out = new DataOutputStream(socket.getOutputStream());
      writer.write(out);
      out.flush();
      assertEquals(socket.getInputStream().read(), -1);
    }
    assertEquals(basalt.metrics.endedLinks(failure), 1);
    amber.send("basalt", "still connected");
    assertEquals(basalt.nextText(), "still connected");
    assertEquals(amber.metrics.linksUp(), 1);
  }

  private interface FrameWriter {
    void write(DataOutputStream out) throws IOException;
  }
}
