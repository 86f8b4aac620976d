package org.lentilhinge.booking;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.identity.HostIncarnation;

/**
 * An idempotency key issued by an entry host. Only its issuer may run the call, or the host to
 * which the issuer handed over its table. The decision therefore depends neither on clocks nor on a
 * host's view of the zone.
 *
 * @param issuer the incarnation of the entry host that issued the ticket
 * @param issuedAtMillis the time of issue on the issuer's monotonic clock, in milliseconds
 * @param sequence the number of the ticket within the issuer's incarnation
 */
public record BookingTicket(HostIncarnation issuer, long issuedAtMillis, long sequence) {

  private static final Pattern FORMAT =
      Pattern.compile("ticket:([A-Za-z0-9._-]{1,60}):([0-9]{1,18}):(-?[0-9]{1,18}):([0-9]{1,18})");

  /**
   * Parses an idempotency key.
   *
   * @param text the key as the caller sent it
   * @return the ticket, or empty if the key is not a ticket
   */
  public static Optional<BookingTicket> parse(String text) {
    Matcher matcher = FORMAT.matcher(text);
    if (!matcher.matches()) {
      return Optional.empty();
    }
    HostIncarnation issuer =
        new HostIncarnation(new HostId(matcher.group(1)), Long.parseLong(matcher.group(2)));
    return Optional.of(
        new BookingTicket(
            issuer, Long.parseLong(matcher.group(3)), Long.parseLong(matcher.group(4))));
  }

  /**
   * Returns the idempotency key that the caller sends.
   *
   * @return the key, which {@link #parse} accepts
   */
  @Override
  public String toString() {
    return "ticket:"
        + issuer.host()
        + ":"
        + issuer.number()
        + ":"
        + issuedAtMillis
        + ":"
        + sequence;
  }
}
