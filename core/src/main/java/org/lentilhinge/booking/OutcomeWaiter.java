package org.lentilhinge.booking;

import org.lentilhinge.identity.HostId;
import org.lentilhinge.identity.RequestId;

/** A request that waits for the outcome of a running call. */
record OutcomeWaiter(HostId gateway, RequestId request) {}
