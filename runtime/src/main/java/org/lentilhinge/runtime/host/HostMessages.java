package org.lentilhinge.runtime.host;

import org.lentilhinge.booking.BookingChallenge;
import org.lentilhinge.booking.BookingForward;
import org.lentilhinge.booking.BookingHandOver;
import org.lentilhinge.booking.BookingHandOverConfirmed;
import org.lentilhinge.booking.BookingHandOverTaken;
import org.lentilhinge.booking.BookingRedirect;
import org.lentilhinge.booking.BookingReply;
import org.lentilhinge.follow.PartGiven;
import org.lentilhinge.follow.PartsAsked;
import org.lentilhinge.follow.VersionAsked;
import org.lentilhinge.follow.VersionTold;
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
import org.lentilhinge.store.PermitGrant;
import org.lentilhinge.store.PermitRequest;
import org.lentilhinge.store.PermitReturn;

/**
 * Assigns type numbers to the messages between entry hosts. Numbers are part of the wire format and
 * must never be reassigned.
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
        .register(40, PermitRequest.class)
        .register(41, PermitGrant.class)
        .register(42, PermitReturn.class)
        .register(50, BookingForward.class)
        .register(51, BookingReply.class)
        .register(52, BookingChallenge.class)
        .register(53, BookingRedirect.class)
        .register(54, BookingHandOver.class)
        .register(55, BookingHandOverTaken.class)
        .register(56, BookingHandOverConfirmed.class)
        .register(60, VersionAsked.class)
        .register(61, VersionTold.class)
        .register(62, PartsAsked.class)
        .register(63, PartGiven.class);
  }
}
