package org.lentilhinge.grant;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.lentilhinge.configuration.FencingSupport;
import org.lentilhinge.identity.AdapterVersion;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.FencingToken;
import org.lentilhinge.identity.HostId;

/** Stands in for an engine, and checks what must never happen to it. */
final class VirtualEngine {

  static final int SLOTS = 3;

  final EndpointId id;
  final FencingSupport fencing;
  final Set<AdapterVersion> resident = new HashSet<>();
  final List<AdapterVersion> running = new ArrayList<>();
  final List<String> violations = new ArrayList<>();
  int unloads;
  int loads;
  int refusals;
  Optional<FencingToken> highest = Optional.empty();
  private HostId lastOrderedBy;

  VirtualEngine(String name, FencingSupport fencing) {
    this.id = new EndpointId(name);
    this.fencing = fencing;
  }

  /** Takes an order; returns whether it was accepted. */
  boolean order(boolean load, AdapterVersion version, FencingToken number) {
    boolean lower = highest.filter(seen -> number.compareTo(seen) < 0).isPresent();
    if (fencing == FencingSupport.CHECKED && lower) {
      refusals++;
      return false;
    }
    boolean otherOwner = lastOrderedBy != null && !lastOrderedBy.equals(number.host());
    boolean risen = highest.filter(seen -> number.compareTo(seen) > 0).isPresent();
    if (fencing == FencingSupport.CHECKED && otherOwner && !risen) {
      violations.add("fencing number did not rise to " + number + " on " + id);
    }
    highest = Optional.of(number);
    lastOrderedBy = number.host();
    apply(load, version, number);
    return true;
  }

  /** Starts a request. */
  void start(AdapterVersion version) {
    if (!resident.contains(version)) {
      violations.add("request reached " + id + " after " + version + " was evicted");
    }
    running.add(version);
  }

  void end(AdapterVersion version) {
    running.remove(version);
  }

  private void apply(boolean load, AdapterVersion version, FencingToken number) {
    if (load) {
      loads++;
      resident.add(version);
      return;
    }
    unloads++;
    resident.remove(version);
    if (running.contains(version)) {
      violations.add(number + " evicted " + version + " on " + id + " while it served");
    }
  }
}
