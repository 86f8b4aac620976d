package org.lentilhinge.runtime.forward;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.lentilhinge.limit.RequestLimit;

/** A header translator for tests, with short header names. */
final class PlainHeaderTranslator implements HeaderTranslator {

  @Override
  public RequestMetadata requestMetadata(HttpHeaders headers) {
    String deadline = headers.get("X-Deadline");
    return new RequestMetadata(
        Optional.ofNullable(headers.get("X-Id")),
        deadline == null ? OptionalLong.empty() : OptionalLong.of(Long.parseLong(deadline)),
        Optional.ofNullable(headers.get("X-Parts"))
            .map(parts -> new RequestMetadata.Generation("m", "", 1, 1, List.of(parts.split(",")))),
        Optional.ofNullable(headers.get("X-Resume")),
        Optional.ofNullable(headers.get("X-Resumes")),
        headers.getAll("X-Key"),
        headers.contains("X-Tokens")
            ? OptionalLong.of(Long.parseLong(headers.get("X-Tokens")))
            : OptionalLong.empty());
  }

  @Override
  public void prepare(HttpHeaders headers, EndpointRequestMetadata metadata) {
    headers.set("X-Deadline", metadata.remainingMillis());
    headers.set("X-Endpoint", metadata.endpointId());
    if (metadata.identity().declared()) {
      headers.remove("X-Key");
      headers.remove("X-Customer");
      metadata.identity().customerName().ifPresent(name -> headers.set("X-Customer", name));
    }
    metadata.resumeAfter().ifPresent(eventId -> headers.set("X-Resume", eventId));
  }

  @Override
  public void prepareRelay(HttpHeaders headers, RelayRequestMetadata metadata) {
    headers.set("X-Deadline", metadata.remainingMillis());
    metadata.resumeAfter().ifPresent(eventId -> headers.set("X-Resume", eventId));
    metadata.resumedRequestId().ifPresent(first -> headers.set("X-Resumes", first));
  }

  @Override
  public List<String> requestIds(HttpHeaders headers) {
    return headers.getAll("X-Id");
  }

  @Override
  public ResponseMetadata responseMetadata(HttpHeaders headers) {
    return new ResponseMetadata(
        headers.contains("X-Not-Executed"),
        headers.contains("X-Signature"),
        Optional.of(
            new RequestLimit(
                Double.parseDouble(headers.get("X-Limit", "Infinity")),
                Double.parseDouble(headers.get("X-Brittle", "Infinity")))),
        headers.contains("X-Leaving"),
        headers.contains("Retry-After")
            ? OptionalLong.of(Math.round(Double.parseDouble(headers.get("Retry-After")) * 1_000))
            : OptionalLong.empty(),
        List.of());
  }
}
