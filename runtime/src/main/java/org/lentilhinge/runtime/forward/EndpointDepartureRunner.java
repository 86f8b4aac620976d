package org.lentilhinge.runtime.forward;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.List;
import org.lentilhinge.fleet.EndpointDepartureNews;
import org.lentilhinge.fleet.EndpointDepartures;
import org.lentilhinge.fleet.FleetEndpoint;

/** Records which endpoints leave, by their responses or by the store, and tells all hosts. */
final class EndpointDepartureRunner {

  private static final String STORE = "store";

  private final HostContext context;
  private final HostState state;
  private final EndpointDepartures departures;
  private final HostBroadcast broadcast;

  EndpointDepartureRunner(
      HostContext context,
      HostState state,
      EndpointDepartures departures,
      HostBroadcast broadcast) {
    this.context = context;
    this.state = state;
    this.departures = departures;
    this.broadcast = broadcast;
  }

  /** Records that an endpoint states in a response to this host that it leaves. */
  void recordResponse(FleetEndpoint endpoint) {
    String incarnation = endpoint.incarnation();
    markDraining(incarnation, context.host());
    if (departures.recordResponse(incarnation, context.now())) {
      announce(List.of(incarnation));
    }
  }

  /** Records that the store lists an endpoint as leaving. */
  void recordListed(FleetEndpoint endpoint) {
    if (departures.recordListed(endpoint.incarnation(), context.now())) {
      logDeparture(endpoint.incarnation(), STORE);
    }
  }

  /** Records that the host which runs the scheduler of an engine refuses it as leaving. */
  void recordRefusal(FleetEndpoint engine) {
    markDraining(engine.incarnation(), "scheduler");
  }

  /** Handles the departures that another host announces. */
  void receive(EndpointDepartureNews news) {
    broadcast.receive(news);
    for (String incarnation : news.incarnations()) {
      markDraining(incarnation, news.host());
      // An endpoint that has ended is not announced any further.
      if (state.endpoints().findIncarnation(incarnation).isPresent()) {
        departures.receive(incarnation, context.now());
      }
    }
  }

  /** Announces the departures that are due. Must be called several times per second. */
  void tick() {
    List<String> due = new ArrayList<>(departures.takeDue(context.now()));
    due.removeIf(incarnation -> state.endpoints().findIncarnation(incarnation).isEmpty());
    if (!due.isEmpty()) {
      announce(due);
    }
  }

  /** Removes an endpoint that is no longer registered. */
  void remove(String incarnation) {
    departures.remove(incarnation);
  }

  private void markDraining(String incarnation, String source) {
    if (state.endpoints().markDraining(incarnation)) {
      logDeparture(incarnation, source);
    }
  }

  private void announce(List<String> incarnations) {
    broadcast.send(new EndpointDepartureNews(context.host(), false, incarnations));
  }

  private void logDeparture(String incarnation, String source) {
    context.metrics().counter(MetricRegistry.name("forward", "departures")).inc();
    context.log().line("endpoint-leaving", "endpoint", incarnation, "from", source);
  }
}
