package org.lentilhinge.runtime.host;

import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import org.lentilhinge.runtime.gateway.Admission;
import org.lentilhinge.runtime.gateway.Routes;

/**
 * Issues tickets under {@code POST /tickets}. A ticket is an idempotency key that identifies its
 * issuing host, so that a booking can run even if the owner of its partition has just been lost.
 */
final class TicketRoutes implements Routes {

  private static final int CREATED = 201;

  private final Admission admission;
  private final BookingDispatcher bookings;

  TicketRoutes(Admission admission, BookingDispatcher bookings) {
    this.admission = admission;
    this.bookings = bookings;
  }

  @Override
  public void mount(Router router) {
    router.post("/tickets").handler(admission::admit).handler(this::issue);
  }

  private void issue(RoutingContext context) {
    context.response().setStatusCode(CREATED);
    context.json(new JsonObject().put("ticket", bookings.issueTicket()));
  }
}
