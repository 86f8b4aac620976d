package org.lentilhinge.identity;

/**
 * The id of an attempt to run a request on an endpoint, unique across hosts and restarts.
 *
 * @param request the request
 * @param number the number of the attempt within the request, from 1
 */
public record AttemptId(RequestId request, int number) {

  @Override
  public String toString() {
    return request + "/" + number;
  }
}
