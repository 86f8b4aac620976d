package org.lentilhinge.permit;

import java.util.List;
import org.lentilhinge.demand.AdapterLoad;
import org.lentilhinge.demand.DemandMeter;

/** The demand for adapters that the permit requests for one engine show. */
final class RequestDemand {

  private final AdapterDemand weights = new AdapterDemand();
  private final DemandMeter meter = new DemandMeter();

  /** Returns the weights by which adapters are evicted. */
  AdapterDemand weights() {
    return weights;
  }

  /** Records a permit request. One that another engine has refused is not new demand. */
  void record(PermitRequest request, double tokensPerMillisecond, long nowMillis) {
    weights.recordRequest(request.adapter(), nowMillis);
    boolean repeated = request.terms().filter(PermitTerms::repeated).isPresent();
    if (!repeated && !request.adapter().isEmpty()) {
      double prefillMillis = request.promptTokens() / tokensPerMillisecond;
      meter.recordRequest(request.adapter(), prefillMillis, nowMillis);
    }
  }

  /** Returns the demand for the adapters that are requested most. */
  List<AdapterLoad> loads(long nowMillis) {
    return meter.loads(nowMillis);
  }
}
