package org.lentilhinge.published.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lentilhinge.customer.Allowance;
import org.lentilhinge.customer.Customer;
import org.lentilhinge.customer.DeclaredCustomers;
import org.lentilhinge.forward.EngineCapacity;
import org.lentilhinge.forward.ForwardConfiguration;
import org.lentilhinge.forward.ForwardLimits;
import org.lentilhinge.forward.ForwardRoute;
import org.lentilhinge.forward.ForwardService;
import org.lentilhinge.forward.RequestKind;
import org.lentilhinge.forward.ServiceShare;
import org.lentilhinge.identity.DeclaredVersion;
import org.lentilhinge.identity.StoreRevision;

/** A configuration without findings, parts of which a test replaces. */
final class SampleConfiguration {

  long version = 7;
  final List<ForwardRoute> routes =
      new ArrayList<>(
          List.of(
              route("audit", "h.example", "/audit/", RequestKind.STREAM, 2, true),
              route("status", "h.example", "/", RequestKind.SAFE, 3, false)));
  final List<ForwardService> services =
      new ArrayList<>(
          List.of(
              new ForwardService(
                  "engines", 300, Optional.of(new EngineCapacity(64, 131_175, 6, List.of("m"))))));
  final List<Customer> customers =
      new ArrayList<>(
          List.of(
              customer("acme", new Allowance(4_200, 9_000, true, 200), "key-of-acme"),
              customer("bolt", Allowance.UNLIMITED, "key-of-bolt")));
  final Map<Integer, Long> gapTargets = new HashMap<>(Map.of(0, 400L));
  ForwardLimits limits = ForwardLimits.DEFAULT;

  static ForwardRoute route(
      String name,
      String host,
      String prefix,
      RequestKind kind,
      int maximumAttempts,
      boolean resumable) {
    return new ForwardRoute(
        name,
        host,
        prefix,
        kind,
        15_000,
        1_005,
        0,
        List.of(new ServiceShare("engines", 1)),
        maximumAttempts,
        resumable,
        false);
  }

  static ForwardRoute route(long timeoutMillis, long targetMillis, ServiceShare... shares) {
    return new ForwardRoute(
        "audit",
        "h.example",
        "/audit/",
        RequestKind.UNSAFE,
        timeoutMillis,
        targetMillis,
        0,
        List.of(shares),
        1,
        false,
        false);
  }

  static Customer customer(String name, Allowance allowance, String... keys) {
    return new Customer(name, List.of(keys), Optional.empty(), allowance);
  }

  CheckedConfiguration build() {
    Map<String, ForwardService> byName = new HashMap<>();
    services.forEach(service -> byName.put(service.name(), service));
    return new CheckedConfiguration(
        new ForwardConfiguration(
            new DeclaredVersion(version, StoreRevision.NONE),
            routes,
            byName,
            limits,
            new DeclaredCustomers(true, customers)),
        services.stream().map(ForwardService::name).toList(),
        gapTargets);
  }
}
