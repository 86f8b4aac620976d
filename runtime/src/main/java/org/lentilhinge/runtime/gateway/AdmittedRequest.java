package org.lentilhinge.runtime.gateway;

import org.lentilhinge.configuration.Caller;
import org.lentilhinge.configuration.Configuration;
import org.lentilhinge.identity.RequestId;

/**
 * A request whose caller is authenticated.
 *
 * @param request the request id
 * @param caller the caller
 * @param configuration the configuration that applies to the request until it ends, even if a newer
 *     one is applied meanwhile
 */
record AdmittedRequest(RequestId request, Caller caller, Configuration configuration) {}
