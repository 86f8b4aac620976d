package org.lentilhinge.runtime.forward;

import org.lentilhinge.fleet.EndpointDepartureNews;
import org.lentilhinge.limit.EndpointLimitNews;
import org.lentilhinge.overlay.HostGossip;
import org.lentilhinge.overlay.HostHeartbeat;
import org.lentilhinge.overlay.HostProbe;
import org.lentilhinge.overlay.HostTable;
import org.lentilhinge.path.PathAnswer;
import org.lentilhinge.path.PathNews;
import org.lentilhinge.path.PathQuery;
import org.lentilhinge.permit.EngineStatuses;
import org.lentilhinge.permit.OpenPermits;
import org.lentilhinge.permit.OwnershipAnswer;
import org.lentilhinge.permit.OwnershipQuery;
import org.lentilhinge.permit.PermitAnswer;
import org.lentilhinge.permit.PermitRequest;
import org.lentilhinge.permit.PermitReturn;
import org.lentilhinge.published.DeclarationNews;
import org.lentilhinge.published.ListingNews;
import org.lentilhinge.quarantine.RequestObservations;
import org.lentilhinge.resume.StreamOriginAnswer;
import org.lentilhinge.resume.StreamOriginNews;
import org.lentilhinge.resume.StreamOriginQuery;
import org.lentilhinge.runtime.peer.MessageRegistry;

/** The tags of the messages of the forwarding path. A tag is never reused for another type. */
final class ForwardMessages {

  private ForwardMessages() {}

  static MessageRegistry registry() {
    return new MessageRegistry()
        .register(3, PermitRequest.class)
        .register(4, PermitAnswer.class)
        .register(5, PermitReturn.class)
        .register(7, HostHeartbeat.class)
        .register(8, HostProbe.class)
        .register(9, HostGossip.class)
        .register(10, HostTable.class)
        .register(11, EngineStatuses.class)
        .register(15, RequestObservations.class)
        .register(16, EndpointLimitNews.class)
        .register(17, ListingNews.class)
        .register(18, DeclarationNews.class)
        .register(19, StreamOriginNews.class)
        .register(20, StreamOriginQuery.class)
        .register(21, StreamOriginAnswer.class)
        .register(22, EndpointDepartureNews.class)
        .register(23, PathQuery.class)
        .register(24, PathAnswer.class)
        .register(25, PathNews.class)
        .register(26, OpenPermits.class)
        .register(27, OwnershipQuery.class)
        .register(28, OwnershipAnswer.class);
  }
}
