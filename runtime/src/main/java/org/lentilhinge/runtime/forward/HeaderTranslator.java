package org.lentilhinge.runtime.forward;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;

/** Translates between the headers on the wire and the internal representation. */
public interface HeaderTranslator {

  /**
   * Reads the headers of a caller's request.
   *
   * @param headers the headers of the request
   * @return the metadata; values that are missing or malformed are empty
   */
  RequestMetadata requestMetadata(HttpHeaders headers);

  /**
   * Prepares headers for an endpoint: removes headers that only this system may set, and adds those
   * for the metadata.
   *
   * @param headers a copy of the caller's headers
   * @param metadata the metadata for the endpoint
   */
  void prepare(HttpHeaders headers, EndpointRequestMetadata metadata);

  /**
   * Prepares headers for another host that serves a request in place of this one.
   *
   * @param headers a copy of the caller's headers
   * @param metadata the metadata for the other host
   */
  void prepareRelay(HttpHeaders headers, RelayRequestMetadata metadata);

  /**
   * Returns the ids of the requests that a request or a response names.
   *
   * @param headers the headers of the request or response
   * @return the ids, as many as it contains
   */
  List<String> requestIds(HttpHeaders headers);

  /**
   * Reads the headers of an endpoint's response.
   *
   * @param headers the headers of the response
   * @return the metadata
   */
  ResponseMetadata responseMetadata(HttpHeaders headers);
}
