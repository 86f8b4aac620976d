package org.lentilhinge.host;

import java.util.ArrayList;
import java.util.List;
import org.lentilhinge.grant.GrantRecall;
import org.lentilhinge.grant.GrantRegistration;
import org.lentilhinge.grant.GrantRelease;
import org.lentilhinge.grant.GrantReply;
import org.lentilhinge.grant.GrantRequest;
import org.lentilhinge.grant.OwnerAnnouncement;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.message.PeerMessage;
import org.lentilhinge.placement.DemandHint;
import org.lentilhinge.placement.EngineAnnouncement;
import org.lentilhinge.store.AddressedMessage;

/** Passes the messages of other hosts to the role that they are for. */
final class RoleMessages {

  private RoleMessages() {}

  static List<HostCommand> received(
      HostRoles parts, HostId from, PeerMessage message, long nowMillis) {
    if (message instanceof GrantRequest request) {
      return parts.grantRequests().requested(request, nowMillis);
    }
    if (isForGateway(message)) {
      return parts.gateway().received(message, nowMillis);
    }
    if (message instanceof EngineAnnouncement announcement) {
      return announced(parts, from, announcement, nowMillis);
    }
    if (message instanceof DemandHint hint) {
      parts.owner().hinted(hint, nowMillis);
    } else if (message instanceof GrantRelease release) {
      parts.grantRequests().released(release);
    } else if (message instanceof GrantRegistration registration) {
      parts.grantRequests().registered(registration, nowMillis);
    } else if (message instanceof AnnouncementRequest request) {
      return parts.owner().tellWhole(request.endpoint(), from);
    }
    return parts.store().receive(message, nowMillis).map(RoleMessages::send).stream().toList();
  }

  private static boolean isForGateway(PeerMessage message) {
    return message instanceof GrantReply
        || message instanceof OwnerAnnouncement
        || message instanceof GrantRecall;
  }

  private static List<HostCommand> announced(
      HostRoles parts, HostId from, EngineAnnouncement announcement, long nowMillis) {
    List<HostCommand> commands = new ArrayList<>();
    if (parts.fleet().applyAnnouncement(announcement, nowMillis)) {
      AnnouncementRequest request = new AnnouncementRequest(announcement.endpoint());
      commands.add(new HostCommand.Send(from, request));
    }
    commands.addAll(parts.gateway().viewChanged(nowMillis));
    return commands;
  }

  private static HostCommand send(AddressedMessage message) {
    return new HostCommand.Send(message.recipient(), message.message());
  }
}
