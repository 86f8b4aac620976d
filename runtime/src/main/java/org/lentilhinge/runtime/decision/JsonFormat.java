package org.lentilhinge.runtime.decision;

import io.vertx.core.json.JsonObject;
import org.lentilhinge.identity.AdapterVersion;

/** Formats a decision as one JSON object. The members of absent attributes are null. */
public final class JsonFormat implements DecisionFormat {

  @Override
  public String render(Decision decision) {
    return new JsonObject()
        .put("decision", decision.kind().label())
        .put("request", decision.request().map(Object::toString).orElse(null))
        .put("caller", decision.caller().map(Object::toString).orElse(null))
        .put("adapter", decision.adapter().map(value -> value.adapter().value()).orElse(null))
        .put("version", decision.adapter().map(AdapterVersion::number).orElse(null))
        .put("endpoint", decision.endpoint().map(Object::toString).orElse(null))
        .put("reason", decision.reason())
        .put(
            "waitMillis",
            decision.waitMillis().isPresent() ? decision.waitMillis().getAsLong() : null)
        .encode();
  }
}
