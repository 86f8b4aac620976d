package org.lentilhinge.runtime.peer;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import io.vertx.core.parsetools.RecordParser;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Splits the bytes of a connection into frames. A frame is a length field of four bytes followed by
 * that many bytes, the first of which identifies the {@link FrameKind}.
 */
final class FrameStream {

  private static final int HEADER_BYTES = Integer.BYTES;

  private final NetSocket socket;
  private final int maximumBytes;
  private final PeerMetrics metrics;
  private final Receiver receiver;
  private final Consumer<LinkFailure> failureHandler;
  private final RecordParser parser;
  private boolean readingHeader = true;
  private boolean ended;

  FrameStream(
      NetSocket socket,
      int maximumBytes,
      PeerMetrics metrics,
      Receiver receiver,
      Consumer<LinkFailure> failureHandler) {
    this.socket = socket;
    this.maximumBytes = maximumBytes;
    this.metrics = metrics;
    this.receiver = receiver;
    this.failureHandler = failureHandler;
    parser = RecordParser.newFixed(HEADER_BYTES, this::onRecord);
    socket.handler(this::onBytes);
    socket.closeHandler(unused -> end(LinkFailure.CLOSED));
    socket.exceptionHandler(exception -> end(LinkFailure.CLOSED));
  }

  private void onBytes(Buffer bytes) {
    if (!ended) {
      metrics.recordReceived(bytes.length());
      parser.handle(bytes);
    }
  }

  private void onRecord(Buffer record) {
    if (ended) {
      return;
    }
    if (readingHeader) {
      onHeader(record.getInt(0));
    } else {
      readingHeader = true;
      parser.fixedSizeMode(HEADER_BYTES);
      onFrame(record);
    }
  }

  private void onHeader(int length) {
    if (length < 1 || length > maximumBytes) {
      end(length < 1 ? LinkFailure.BAD_FRAME : LinkFailure.OVERSIZED_FRAME);
      return;
    }
    readingHeader = false;
    parser.fixedSizeMode(length);
  }

  private void onFrame(Buffer frame) {
    Optional<FrameKind> kind = FrameKind.of(frame.getByte(0));
    if (kind.isEmpty()) {
      end(LinkFailure.BAD_FRAME);
      return;
    }
    try {
      receiver.receive(kind.get(), frame.getBytes(1, frame.length()));
    } catch (MessageFormatException exception) {
      end(LinkFailure.BAD_FRAME);
    }
  }

  /** Sends a frame and returns whether the write queue of the connection has room for another. */
  boolean send(FrameKind kind, byte[] payload) {
    Buffer frame = Buffer.buffer(HEADER_BYTES + 1 + payload.length);
    frame.appendInt(1 + payload.length).appendByte(kind.code()).appendBytes(payload);
    metrics.recordSent(frame.length());
    socket.write(frame);
    return !socket.writeQueueFull();
  }

  boolean isFull() {
    return socket.writeQueueFull();
  }

  void onDrain(Runnable action) {
    socket.drainHandler(unused -> action.run());
  }

  /** Closes the connection and reports the reason; later calls have no effect. */
  void end(LinkFailure failure) {
    if (!ended) {
      ended = true;
      failureHandler.accept(failure);
      socket.close();
    }
  }

  /** Receives the frames of a connection. */
  interface Receiver {

    void receive(FrameKind kind, byte[] payload) throws MessageFormatException;
  }
}
