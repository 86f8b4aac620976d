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

/** Simulates an engine and records violations of the ownership and eviction rules. */
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
  Optional<FencingToken> highestToken = Optional.empty();
  private HostId lastOrderedBy;

  VirtualEngine(String name, FencingSupport fencing) {
    this.id = new EndpointId(name);
    this.fencing = fencing;
  }

  /** Handles an order; returns whether it was accepted. */
  boolean order(boolean load, AdapterVersion version, FencingToken token) {
    boolean lower = highestToken.filter(seen -> token.compareTo(seen) < 0).isPresent();
    if (fencing == FencingSupport.CHECKED && lower) {
      refusals++;
      return false;
    }
    boolean otherOwner = lastOrderedBy != null && !lastOrderedBy.equals(token.host());
    boolean higher = highestToken.filter(seen -> token.compareTo(seen) > 0).isPresent();
    if (fencing == FencingSupport.CHECKED && otherOwner && !higher) {
      violations.add("fencing token did not increase to " + token + " on " + id);
    }
    highestToken = Optional.of(token);
    lastOrderedBy = token.host();
    applyOrder(load, version, token);
    return true;
  }

  /** Starts a request on a version, which must be resident. */
  void start(AdapterVersion version) {
    if (!resident.contains(version)) {
      violations.add("request reached " + id + " after " + version + " was evicted");
    }
    running.add(version);
  }

  void end(AdapterVersion version) {
    running.remove(version);
  }

  private void applyOrder(boolean load, AdapterVersion version, FencingToken token) {
    if (load) {
      loads++;
      resident.add(version);
      return;
    }
    unloads++;
    resident.remove(version);
    if (running.contains(version)) {
      violations.add(token + " evicted " + version + " on " + id + " while a request was running");
    }
  }
}
