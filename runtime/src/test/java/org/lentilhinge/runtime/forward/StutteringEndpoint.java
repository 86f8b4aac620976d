package org.lentilhinge.runtime.forward;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetSocket;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** An endpoint that writes a further response before the one to the next request. */
final class StutteringEndpoint {

  /** The delay of the response to the next request, in milliseconds. */
  private static final long OWN_DELAY_MILLIS = 20;

  private final Vertx vertx;
  private final ScriptedEndpoint endpoint;
  private final Map<NetSocket, String> unsent = new ConcurrentHashMap<>();
  private final AtomicInteger sharedConnections = new AtomicInteger();
  private volatile Stutter current;

  /** The requests that the further response names. */
  enum Mark {
    NONE,
    EMPTY,
    FORMER,
    OTHER,
    FORMER_AND_OWN,
    OWN_AND_FORMER
  }

  /** How the end of the further response is found. */
  enum Framing {
    LENGTH(false),
    CHUNKED(false),
    EVENTS(false),
    UNFRAMED(true),
    FALSE_LENGTH(true),
    CUT(true);

    private final boolean hidesNextResponse;

    Framing(boolean hidesNextResponse) {
      this.hidesNextResponse = hidesNextResponse;
    }

    boolean hidesNextResponse() {
      return hidesNextResponse;
    }
  }

  /** When the further response is written. */
  enum Moment {
    /** A part together with the response to the former request, the rest before the next one. */
    WITH_FORMER,
    /** A part after the response to the former request, the rest before the next one. */
    AFTER_FORMER,
    /** Once the next request has arrived, together with the response to it. */
    WITH_OWN,
    /** Once the next request has arrived, some time before the response to it. */
    BEFORE_OWN
  }

  /**
   * One case.
   *
   * @param number distinguishes the case
   * @param path the path of the route
   * @param mark the requests that the further response names
   * @param framing how its end is found
   * @param moment when it is written
   * @param split the share of it that is written first, if it is written in two parts
   * @param foreignStatus its status
   * @param ownStatus the status of the response to the next request
   */
  record Stutter(
      int number,
      String path,
      Mark mark,
      Framing framing,
      Moment moment,
      double split,
      int foreignStatus,
      int ownStatus) {

    /** Indicates whether the further response could be a refusal of the next request. */
    boolean isUnnamedRefusal() {
      boolean unnamed = mark == Mark.NONE || mark == Mark.EMPTY;
      return unnamed && (foreignStatus == 429 || foreignStatus == 503);
    }

    String formerId() {
      return "former" + number;
    }

    String ownId() {
      return "own" + number;
    }

    private String mark(Mark named) {
      return switch (named) {
        case NONE -> "";
        case EMPTY -> "X-Id: \r\n";
        case FORMER -> "X-Id: " + formerId() + "\r\n";
        case OTHER -> "X-Id: other" + number + "\r\n";
        case FORMER_AND_OWN -> "X-Id: " + formerId() + "\r\nX-Id: " + ownId() + "\r\n";
        case OWN_AND_FORMER -> "X-Id: " + ownId() + "\r\nX-Id: " + formerId() + "\r\n";
      };
    }

    private String foreignResponse() {
      String head = head(foreignStatus) + mark(mark);
      return switch (framing) {
        case LENGTH -> head + "Content-Length: 7\r\n\r\nforeign";
        case CHUNKED -> head + "Transfer-Encoding: chunked\r\n\r\n7\r\nforeign\r\n0\r\n\r\n";
        case EVENTS -> head + events("foreign");
        case UNFRAMED -> head + "\r\nforeign";
        case FALSE_LENGTH -> head + "Content-Length: 20\r\n\r\nforeign";
        case CUT -> head + "Content-Length: 7\r\n\r\nfor";
      };
    }

    private String formerResponse() {
      return success(formerId(), "former");
    }

    private String ownResponse() {
      return ownStatus == 200
          ? success(ownId(), "own")
          : head(ownStatus) + "X-Id: " + ownId() + "\r\nContent-Length: 3\r\n\r\nown";
    }

    private String success(String id, String body) {
      boolean stream = path.equals("/stream/") || path.equals("/resumable/");
      return head(200)
          + "X-Id: "
          + id
          + "\r\n"
          + (stream ? events(body) : "Content-Length: " + body.length() + "\r\n\r\n" + body);
    }

    private static String head(int status) {
      return "HTTP/1.1 "
          + status
          + " S\r\nX-Signature: s\r\n"
          + (status == 429 || status == 503 ? "X-Not-Executed: 1\r\n" : "");
    }

    private static String events(String data) {
      String event = "id: 1\ndata: " + data + "\n\n";
      return "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
          + Integer.toHexString(event.length())
          + "\r\n"
          + event
          + "\r\n0\r\n\r\n";
    }
  }

  StutteringEndpoint(Vertx vertx) {
    this.vertx = vertx;
    this.endpoint = new ScriptedEndpoint(vertx, this::respond);
  }

  String address() {
    return endpoint.address();
  }

  /** Returns the number of cases in which both requests came on one connection. */
  int sharedConnections() {
    return sharedConnections.get();
  }

  /** Plays a case with the next two requests. */
  void play(Stutter stutter) {
    current = stutter;
  }

  private void respond(NetSocket socket, String request) {
    Stutter stutter = current;
    String foreign = stutter.foreignResponse();
    if (request.contains("X-Id: " + stutter.formerId())) {
      int first = (int) (foreign.length() * stutter.split());
      switch (stutter.moment()) {
        case WITH_FORMER -> {
          socket.write(stutter.formerResponse() + foreign.substring(0, first));
          unsent.put(socket, foreign.substring(first));
        }
        case AFTER_FORMER -> {
          socket.write(stutter.formerResponse());
          socket.write(foreign.substring(0, first));
          unsent.put(socket, foreign.substring(first));
        }
        default -> {
          socket.write(stutter.formerResponse());
          unsent.put(socket, foreign);
        }
      }
      return;
    }
    String rest = unsent.getOrDefault(socket, "");
    if (unsent.remove(socket) != null) {
      sharedConnections.incrementAndGet();
    }
    if (stutter.moment() == Moment.WITH_OWN) {
      socket.write(rest + stutter.ownResponse());
    } else {
      socket.write(rest);
      vertx.setTimer(OWN_DELAY_MILLIS, id -> socket.write(stutter.ownResponse()));
    }
  }
}
