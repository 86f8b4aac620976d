package org.lentilhinge.runtime.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.testng.annotations.Test;

/** Tests which requests have the same digest. */
public class RequestDigestTest {

  private static HttpRequest request(HttpMethod method, String host, String uri, String id) {
    HttpRequest request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, method, uri);
    request.headers().set("Host", host).set("X-Id", id).set("X-Deadline", id.length());
    return request;
  }

  private static ByteBuf body(String text) {
    return Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
  }

  @Test
  public void repeatedRequestHasTheSameDigestAndKeepsItsBody() {
    ByteBuf body = body("question");
    String first = RequestDigest.of(request(HttpMethod.POST, "h", "/a/1", "one"), body);
    String again = RequestDigest.of(request(HttpMethod.POST, "h", "/a/1", "another"), body);
    assertEquals(again, first);
    assertEquals(first.length(), 32);
    assertEquals(body.toString(StandardCharsets.UTF_8), "question");
  }

  @Test
  public void otherRequestsHaveOtherDigests() {
    HttpRequest authorized = request(HttpMethod.POST, "h", "/a/1", "i");
    authorized.headers().set("Authorization", "key");
    List<String> digests =
        List.of(
            RequestDigest.of(request(HttpMethod.POST, "h", "/a/1", "i"), body("x")),
            RequestDigest.of(request(HttpMethod.PUT, "h", "/a/1", "i"), body("x")),
            RequestDigest.of(request(HttpMethod.POST, "g", "/a/1", "i"), body("x")),
            RequestDigest.of(request(HttpMethod.POST, "h", "/a/2", "i"), body("x")),
            RequestDigest.of(request(HttpMethod.POST, "h", "/a/1", "i"), body("y")),
            RequestDigest.of(request(HttpMethod.POST, "h", "/a/1", "i"), body("")),
            RequestDigest.of(authorized, body("x")));
    Set<String> distinct = new HashSet<>(digests);
    assertEquals(distinct.size(), digests.size());
    assertNotEquals(
        RequestDigest.of(request(HttpMethod.POST, "h", "/a", "i"), body("x")),
        RequestDigest.of(request(HttpMethod.POST, "h/a", "", "i"), body("x")));
  }
}
