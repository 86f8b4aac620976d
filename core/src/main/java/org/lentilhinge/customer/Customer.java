package org.lentilhinge.customer;

import java.util.List;
import java.util.Optional;

/**
 * A declared customer.
 *
 * @param name the name by which endpoints know the customer
 * @param apiKeys the keys of its callers; none if the customer has lost them all
 * @param priority the priority of its requests, which precedes that of their routes; 0 is the most
 *     urgent
 * @param allowance what the customer may use
 */
public record Customer(
    String name, List<String> apiKeys, Optional<Integer> priority, Allowance allowance) {

  /**
   * Copies the keys.
   *
   * @param name the name
   * @param apiKeys the keys
   * @param priority the priority
   * @param allowance the allowance
   */
  public Customer {
    apiKeys = List.copyOf(apiKeys);
  }
}
