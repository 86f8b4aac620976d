package org.lentilhinge.customer;

import java.util.List;

/**
 * The customers of a configuration.
 *
 * @param declared whether the configuration declares customers at all; if so, requests need a key
 * @param customers the customers
 */
public record DeclaredCustomers(boolean declared, List<Customer> customers) {

  /** No declaration: requests need no key. */
  public static final DeclaredCustomers NONE = new DeclaredCustomers(false, List.of());

  /**
   * Copies the list.
   *
   * @param declared whether customers are declared
   * @param customers the customers
   */
  public DeclaredCustomers {
    customers = List.copyOf(customers);
  }
}
