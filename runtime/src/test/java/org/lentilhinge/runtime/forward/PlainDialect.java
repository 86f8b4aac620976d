package org.lentilhinge.runtime.forward;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import java.util.OptionalLong;

/** A header translator for tests, with short header names. */
final class PlainDialect implements ForwardDialect {

  @Override
  public CallerHead callerHead(HttpHeaders headers) {
    String deadline = headers.get("X-Deadline");
    return new CallerHead(
        Optional.ofNullable(headers.get("X-Id")),
        deadline == null ? OptionalLong.empty() : OptionalLong.of(Long.parseLong(deadline)),
        Optional.empty(),
        Optional.ofNullable(headers.get("X-Resume")));
  }

  @Override
  public void prepare(HttpHeaders headers, EndpointHead metadata) {
    headers.set("X-Deadline", metadata.deadlineMillis());
    headers.set("X-Endpoint", metadata.endpoint());
    metadata.resumeAfter().ifPresent(event -> headers.set("X-Resume", event));
  }

  @Override
  public ReplyHead replyHead(HttpHeaders headers) {
    return new ReplyHead(
        headers.contains("X-Not-Executed"),
        headers.contains("X-Signature"),
        Optional.ofNullable(headers.get("X-Id")));
  }
}
