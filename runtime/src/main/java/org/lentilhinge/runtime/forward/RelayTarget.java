package org.lentilhinge.runtime.forward;

import io.netty.handler.codec.http.HttpHeaders;
import io.vertx.core.Future;
import java.util.List;
import java.util.Optional;
import org.lentilhinge.forward.AttemptOutcome;

/**
 * Another host that serves a request for this one. It makes all attempts at endpoints and records
 * what follows from them, so that its response is final, unless it refuses to serve other hosts.
 */
final class RelayTarget implements AttemptTarget {

  private static final int CLIENT_ERRORS = 400;
  private static final int SERVER_ERRORS = 500;
  private static final int SERVICE_UNAVAILABLE = 503;

  private final Forwarder forwarder;
  private final HostRelay.Helper helper;
  private final RelayRequestMetadata metadata;
  private boolean unavailable;

  RelayTarget(Forwarder forwarder, HostRelay.Helper helper, RelayRequestMetadata metadata) {
    this.forwarder = forwarder;
    this.helper = helper;
    this.metadata = metadata;
  }

  @Override
  public String name() {
    return helper.host();
  }

  @Override
  public Future<EndpointConnection> connect(Optional<String> requestId) {
    helper.recordStart();
    // A host's own responses name no request.
    return forwarder.pool().openForSingleUse(helper.address());
  }

  @Override
  public Optional<String> obstacle() {
    return Optional.empty();
  }

  @Override
  public void prepare(HttpHeaders headers) {
    headers.set(HostRelay.HEADER, forwarder.relay().headerValue());
    forwarder.headerTranslator().prepareRelay(headers, metadata);
  }

  @Override
  public void recordSent() {}

  @Override
  public void recordWritten() {}

  @Override
  public void recordHead(int status, ResponseMetadata head, HttpHeaders headers) {
    unavailable = headers.contains(HostRelay.UNAVAILABLE_HEADER);
  }

  @Override
  public void recordPart() {}

  @Override
  public boolean isRefusal(int status, ResponseMetadata head) {
    // Hosts refuse by themselves only what was certainly not executed.
    boolean refused =
        status == SERVICE_UNAVAILABLE || status >= CLIENT_ERRORS && status < SERVER_ERRORS;
    return refused && !head.signed();
  }

  @Override
  public void recordStreamStarted() {}

  @Override
  public void recordSurvived(List<String> parts, String digest) {}

  @Override
  public void recordBroken(List<String> parts, String digest) {}

  @Override
  public void recordEnd(AttemptOutcome outcome, String reason, int status) {
    helper.recordEnd();
    if (outcome == AttemptOutcome.NOT_SENT) {
      unavailable = true;
    }
    if (unavailable) {
      forwarder.relay().remove(helper.host());
    }
  }

  @Override
  public boolean mayReplaceFailure() {
    return false;
  }

  @Override
  public boolean endsRequest() {
    return !unavailable;
  }
}
