package org.lentilhinge.runtime.forward;

import io.netty.handler.codec.http.HttpHeaders;
import io.vertx.core.Future;
import java.util.List;
import java.util.Optional;
import org.lentilhinge.forward.AttemptOutcome;

/** What an attempt sends its request to, and what learns from the course of the attempt. */
interface AttemptTarget {

  /** Returns the name of the target, for the log. */
  String name();

  /**
   * Returns a connection that may carry the request.
   *
   * @param requestId the id by which the response will be recognized; a request without one gets a
   *     connection of its own
   */
  Future<EndpointConnection> connect(Optional<String> requestId);

  /** Returns why the request must not be sent now; empty if it may be. */
  Optional<String> obstacle();

  /** Prepares a copy of the headers of the caller's request. */
  void prepare(HttpHeaders headers);

  /** Records that the request was sent. */
  void recordSent();

  /** Records that the whole request was passed to the operating system. */
  void recordWritten();

  /** Records the head of the response. */
  void recordHead(int status, ResponseMetadata head, HttpHeaders headers);

  /** Records that a part of the response has arrived. */
  void recordPart();

  /** Indicates whether the response assures that the request was not executed. */
  boolean isRefusal(int status, ResponseMetadata head);

  /** Records that the first event of a stream was written to the caller. */
  void recordStreamStarted();

  /** Records that the target survived requests with these parts of a prompt and this digest. */
  void recordSurvived(List<String> parts, String digest);

  /** Records that the response broke off after the request may have been read. */
  void recordBroken(List<String> parts, String digest);

  /** Records the end of the attempt. */
  void recordEnd(AttemptOutcome outcome, String reason, int status);

  /** Indicates whether a failure that the target responds with may be followed by an attempt. */
  boolean mayReplaceFailure();

  /** Indicates whether the request ends with the attempt, because the target has tried enough. */
  boolean endsRequest();
}
