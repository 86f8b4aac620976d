package org.lentilhinge.permit;

import java.util.Optional;

/** The base model of an engine, which is ordered once if the engine does not hold it. */
final class BaseModel {

  private final String name;
  private boolean present;
  private boolean ordered;

  BaseModel(String name, boolean present) {
    this.name = name;
    this.present = present;
  }

  String name() {
    return name;
  }

  boolean isPresent() {
    return present;
  }

  void setPresent(boolean loaded) {
    present = loaded;
  }

  /** Returns the order to load the model; empty if it is ordered already. */
  Optional<EngineCommand> order() {
    if (ordered) {
      return Optional.empty();
    }
    ordered = true;
    AdapterOrder order = new AdapterOrder(true, name, "", 0);
    return Optional.of(new EngineCommand.Order(order, "model-absent"));
  }

  /** Records that the order was carried out or has failed; a failed one may be repeated. */
  void recordOrder(boolean done) {
    ordered = false;
    present |= done;
  }
}
