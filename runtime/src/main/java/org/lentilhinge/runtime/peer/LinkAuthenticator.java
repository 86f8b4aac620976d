package org.lentilhinge.runtime.peer;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;

/**
 * Creates and verifies the hellos of the handshake and their signatures. A signature is an
 * HMAC-SHA256 (RFC 2104) over the role of the signer and both hellos. Each hello carries a fresh
 * nonce, so a recorded signature cannot be replayed.
 */
final class LinkAuthenticator {

  static final String DIALER = "dialer";
  static final String ACCEPTOR = "acceptor";

  private static final String ALGORITHM = "HmacSHA256";
  private static final int NONCE_BYTES = 16;

  private final SecretKeySpec secret;
  private final SecureRandom random;
  private final ValueCodec helloCodec;
  private final ValueCodec welcomeCodec;

  LinkAuthenticator(byte[] secret, SecureRandom random) {
    this.secret = new SecretKeySpec(secret, ALGORITHM);
    this.random = random;
    CodecFactory factory = new CodecFactory();
    helloCodec = factory.codec(LinkHello.class);
    welcomeCodec = factory.codec(LinkWelcome.class);
  }

  byte[] hello(PeerSettings settings) {
    byte[] nonce = new byte[NONCE_BYTES];
    random.nextBytes(nonce);
    return encode(
        helloCodec, new LinkHello(LinkHello.VERSION, settings.self(), settings.zone(), nonce));
  }

  byte[] welcome(byte[] hello, byte[] signature) {
    return encode(welcomeCodec, new LinkWelcome(hello, signature));
  }

  LinkHello readHello(byte[] bytes) throws MessageFormatException {
    return (LinkHello) decode(helloCodec, bytes);
  }

  LinkWelcome readWelcome(byte[] bytes) throws MessageFormatException {
    return (LinkWelcome) decode(welcomeCodec, bytes);
  }

  byte[] sign(String role, byte[] dialerHello, byte[] acceptorHello) {
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(secret);
      update(mac, role.getBytes(StandardCharsets.US_ASCII));
      update(mac, dialerHello);
      update(mac, acceptorHello);
      return mac.doFinal();
    } catch (GeneralSecurityException exception) {
      throw new IllegalStateException("no provider of " + ALGORITHM, exception);
    }
  }

  private static void update(Mac mac, byte[] part) {
    mac.update(ByteBuffer.allocate(Integer.BYTES).putInt(0, part.length));
    mac.update(part);
  }

  boolean verify(byte[] signature, String role, byte[] dialerHello, byte[] acceptorHello) {
    // Constant-time comparison: the duration does not reveal which byte differs.
    return MessageDigest.isEqual(signature, sign(role, dialerHello, acceptorHello));
  }

  private static byte[] encode(ValueCodec codec, Object value) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      codec.write(value, packer);
      return packer.toByteArray();
    } catch (IOException exception) {
      throw new IllegalStateException("cannot encode a handshake message", exception);
    }
  }

  private static Object decode(ValueCodec codec, byte[] bytes) throws MessageFormatException {
    try {
      return codec.read(new ValueSource(bytes, 0, bytes.length));
    } catch (MessagePackException | IOException exception) {
      throw new MessageFormatException("malformed handshake message", exception);
    }
  }
}
