package org.lentilhinge.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/** Selects the engines that may run a request. */
final class Candidates {

  private Candidates() {}

  static List<EngineView> of(
      RoutingRequest request, Collection<EngineView> engines, long nowMillis) {
    List<EngineView> usable = new ArrayList<>(engines.size());
    for (EngineView view : engines) {
      if (mayRun(request, view, nowMillis)) {
        usable.add(view);
      }
    }
    return usable;
  }

  private static boolean mayRun(RoutingRequest request, EngineView view, long nowMillis) {
    return view.isUsable(nowMillis)
        && view.engine().baseModel().equals(request.classified().baseModel())
        && !request.excluded().contains(view.engine().id());
  }
}
