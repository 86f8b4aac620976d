package org.lentilhinge.customer;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lentilhinge.forward.ForwardRoute;

/** Finds the customer of a request by its API key. */
public final class CustomerDirectory {

  private final boolean declared;
  private final Map<String, Customer> byKey = new HashMap<>();
  private final Map<String, Customer> byName = new LinkedHashMap<>();

  /**
   * Creates a directory.
   *
   * @param customers the customers; of two with the same key, the later one applies
   */
  public CustomerDirectory(DeclaredCustomers customers) {
    declared = customers.declared();
    for (Customer customer : customers.customers()) {
      byName.put(customer.name(), customer);
      customer.apiKeys().forEach(key -> byKey.put(key, customer));
    }
  }

  /**
   * Finds out who sends a request.
   *
   * @param route the route of the request
   * @param apiKeys the values of all headers that contain a key
   * @return the identity, or empty if the request needs a key of a customer and has none
   */
  public Optional<CallerIdentity> identify(ForwardRoute route, List<String> apiKeys) {
    if (!declared) {
      return Optional.of(CallerIdentity.UNDECLARED);
    }
    if (route.publicAccess()) {
      return Optional.of(CallerIdentity.ANONYMOUS);
    }
    return apiKeys.size() == 1
        ? Optional.ofNullable(byKey.get(apiKeys.get(0))).map(CallerIdentity::of)
        : Optional.empty();
  }

  /**
   * Looks up a customer.
   *
   * @param name the name
   * @return the customer, or empty if it is not declared
   */
  public Optional<Customer> find(String name) {
    return Optional.ofNullable(byName.get(name));
  }

  /**
   * Returns all customers.
   *
   * @return the customers in the order of their declaration
   */
  public Collection<Customer> customers() {
    return List.copyOf(byName.values());
  }
}
