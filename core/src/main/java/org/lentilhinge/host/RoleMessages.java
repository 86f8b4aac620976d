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

/** Dispatches the messages of other hosts to the components that handle them. */
final class RoleMessages {

  private RoleMessages() {}

  static List<HostCommand> onMessage(
      HostRoles roles, HostId from, PeerMessage message, long nowMillis) {
    if (message instanceof GrantRequest request) {
      return roles.grantRequests().onRequest(request, nowMillis);
    }
    if (isForGateway(message)) {
      return roles.gateway().onMessage(message, nowMillis);
    }
    if (message instanceof EngineAnnouncement announcement) {
      return onAnnouncement(roles, from, announcement, nowMillis);
    }
    if (message instanceof DemandHint hint) {
      roles.owner().onDemandHint(hint, nowMillis);
    } else if (message instanceof GrantRelease release) {
      roles.grantRequests().onRelease(release);
    } else if (message instanceof GrantRegistration registration) {
      roles.grantRequests().onRegistration(registration, nowMillis);
    } else if (message instanceof AnnouncementRequest request) {
      return roles.owner().sendCompleteAnnouncement(request.endpoint(), from);
    }
    return roles.store().onMessage(message, nowMillis).map(RoleMessages::send).stream().toList();
  }

  private static boolean isForGateway(PeerMessage message) {
    return message instanceof GrantReply
        || message instanceof OwnerAnnouncement
        || message instanceof GrantRecall;
  }

  private static List<HostCommand> onAnnouncement(
      HostRoles roles, HostId from, EngineAnnouncement announcement, long nowMillis) {
    List<HostCommand> commands = new ArrayList<>();
    if (roles.fleet().applyAnnouncement(announcement, nowMillis)) {
      AnnouncementRequest request = new AnnouncementRequest(announcement.endpoint());
      commands.add(new HostCommand.Send(from, request));
    }
    commands.addAll(roles.gateway().onFleetViewChanged(nowMillis));
    return commands;
  }

  private static HostCommand send(AddressedMessage message) {
    return new HostCommand.Send(message.recipient(), message.message());
  }
}
