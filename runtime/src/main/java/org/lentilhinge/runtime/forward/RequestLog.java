package org.lentilhinge.runtime.forward;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.lentilhinge.fleet.FleetEndpoint;
import org.lentilhinge.forward.AttemptOutcome;
import org.lentilhinge.forward.ResponseMatch;
import org.lentilhinge.limit.RequestLimit;

/** Writes the log lines of one request, each with its id. */
final class RequestLog {

  private final EventLog log;
  private final String requestId;

  RequestLog(EventLog log, Optional<String> requestId) {
    this.log = log;
    this.requestId = requestId.orElse("-");
  }

  /** Writes a line with the names and values of its fields. */
  void write(String event, Object... fields) {
    Object[] allFields = new Object[fields.length + 2];
    allFields[0] = "id";
    allFields[1] = requestId;
    System.arraycopy(fields, 0, allFields, 2, fields.length);
    log.line(event, allFields);
  }

  /** Writes the line of the choice of a plain endpoint, with the age of the listing. */
  void writeRoute(FleetEndpoint endpoint, Optional<Long> listingAgeMillis) {
    write(
        "route",
        "endpoint",
        endpoint.id(),
        "revision",
        endpoint.revision(),
        "fleetAgeMs",
        listingAgeMillis.orElse(-1L));
  }

  /** Writes the line of an attempt that has ended. */
  void writeAttempt(
      EndpointAttempt attempt, AttemptOutcome outcome, String reason, List<String> sharedParts) {
    ConnectionUse use = attempt.connectionUse();
    write(
        "attempt",
        "endpoint",
        attempt.target().name(),
        "outcome",
        outcome,
        "why",
        reason,
        "status",
        attempt.status(),
        "firstMs",
        attempt.firstEventMillis(),
        "pauseMs",
        attempt.longestPauseMillis(),
        "tookMs",
        attempt.elapsedMillis(),
        "uses",
        use.uses(),
        "connectionMs",
        use.ageMillis(),
        "match",
        use.match().map(ResponseMatch::name).orElse("none"),
        "foreign",
        use.foreignResponses(),
        "unnamed",
        use.unnamedResponses(),
        "parts",
        String.join(",", sharedParts),
        "limit",
        attempt
            .responseMetadata()
            .flatMap(ResponseMetadata::requestLimit)
            .filter(RequestLimit::hasRate)
            .map(limit -> String.valueOf(limit.perSecond()))
            .orElse("none"),
        "brittle",
        attempt
            .responseMetadata()
            .flatMap(ResponseMetadata::requestLimit)
            .filter(RequestLimit::isBrittle)
            .map(limit -> String.valueOf(limit.refusalsPerSecond()))
            .orElse("none"),
        "leaving",
        attempt.responseMetadata().filter(ResponseMetadata::leaving).isPresent(),
        "retryAfterMs",
        attempt
            .responseMetadata()
            .map(ResponseMetadata::retryAfterMillis)
            .filter(OptionalLong::isPresent)
            .map(millis -> String.valueOf(millis.getAsLong()))
            .orElse("none"),
        "malformed",
        attempt
            .responseMetadata()
            .map(head -> String.join(",", head.malformed()))
            .filter(text -> !text.isEmpty())
            .orElse("none"));
  }
}
