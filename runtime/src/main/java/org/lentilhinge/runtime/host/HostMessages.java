package org.lentilhinge.runtime.host;

import org.lentilhinge.booking.BookingChallenge;
import org.lentilhinge.booking.BookingForward;
import org.lentilhinge.booking.BookingHandOver;
import org.lentilhinge.booking.BookingHandOverAcknowledgement;
import org.lentilhinge.booking.BookingHandOverConfirmed;
import org.lentilhinge.booking.BookingRedirect;
import org.lentilhinge.booking.BookingReply;
import org.lentilhinge.follow.PartResponse;
import org.lentilhinge.follow.PartsRequest;
import org.lentilhinge.follow.VersionNotification;
import org.lentilhinge.follow.VersionRequest;
import org.lentilhinge.grant.GrantRecall;
import org.lentilhinge.grant.GrantRegistration;
import org.lentilhinge.grant.GrantRelease;
import org.lentilhinge.grant.GrantReply;
import org.lentilhinge.grant.GrantRequest;
import org.lentilhinge.grant.OwnerAnnouncement;
import org.lentilhinge.host.AnnouncementRequest;
import org.lentilhinge.lease.LeaseReply;
import org.lentilhinge.lease.LeaseRequest;
import org.lentilhinge.membership.Heartbeat;
import org.lentilhinge.membership.ZoneSummary;
import org.lentilhinge.membership.ZoneSummaryRequest;
import org.lentilhinge.placement.DemandHint;
import org.lentilhinge.placement.EngineAnnouncement;
import org.lentilhinge.runtime.peer.MessageRegistry;
import org.lentilhinge.store.LoadPermitGrant;
import org.lentilhinge.store.LoadPermitRequest;
import org.lentilhinge.store.LoadPermitReturn;

/**
 * Assigns type numbers to the messages between entry hosts. The numbers are part of the wire format
 * and must never be reassigned.
 */
public final class HostMessages {

  private HostMessages() {}

  /**
   * Registers all messages.
   *
   * @return the registry
   */
  public static MessageRegistry registry() {
    return new MessageRegistry()
        .register(1, Heartbeat.class)
        .register(2, ZoneSummary.class)
        .register(3, ZoneSummaryRequest.class)
        .register(10, LeaseRequest.class)
        .register(11, LeaseReply.class)
        .register(20, GrantRequest.class)
        .register(21, GrantReply.class)
        .register(22, GrantRelease.class)
        .register(23, GrantRegistration.class)
        .register(24, OwnerAnnouncement.class)
        .register(25, GrantRecall.class)
        .register(30, EngineAnnouncement.class)
        .register(31, AnnouncementRequest.class)
        .register(32, DemandHint.class)
        .register(40, LoadPermitRequest.class)
        .register(41, LoadPermitGrant.class)
        .register(42, LoadPermitReturn.class)
        .register(50, BookingForward.class)
        .register(51, BookingReply.class)
        .register(52, BookingChallenge.class)
        .register(53, BookingRedirect.class)
        .register(54, BookingHandOver.class)
        .register(55, BookingHandOverAcknowledgement.class)
        .register(56, BookingHandOverConfirmed.class)
        .register(60, VersionRequest.class)
        .register(61, VersionNotification.class)
        .register(62, PartsRequest.class)
        .register(63, PartResponse.class);
  }
}
