package org.lentilhinge.customer;

import java.util.Optional;

/**
 * Who sends a request, as far as the configuration declares customers.
 *
 * @param declared whether the configuration declares customers; if so, keys are not passed on
 * @param customer the customer; empty on a public route
 */
public record CallerIdentity(boolean declared, Optional<Customer> customer) {

  /** The identity of all callers if no customers are declared. */
  public static final CallerIdentity UNDECLARED = new CallerIdentity(false, Optional.empty());

  /** The identity of the callers of a public route. */
  public static final CallerIdentity ANONYMOUS = new CallerIdentity(true, Optional.empty());

  /**
   * Returns the identity of a customer's callers.
   *
   * @param customer the customer
   * @return the identity
   */
  public static CallerIdentity of(Customer customer) {
    return new CallerIdentity(true, Optional.of(customer));
  }

  /**
   * Returns the priority of a request.
   *
   * @param routePriority the priority of its route
   * @return the customer's priority if it has one, else that of the route
   */
  public int priority(int routePriority) {
    return customer.flatMap(Customer::priority).orElse(routePriority);
  }

  /**
   * Returns the name of the customer.
   *
   * @return the name, or empty if there is none
   */
  public Optional<String> customerName() {
    return customer.map(Customer::name);
  }
}
