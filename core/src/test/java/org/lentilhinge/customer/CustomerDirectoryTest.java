package org.lentilhinge.customer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import org.lentilhinge.forward.ForwardRoute;
import org.lentilhinge.forward.RequestKind;
import org.lentilhinge.forward.ServiceShare;
import org.testng.annotations.Test;

/** Tests which requests need a key and whose keys they are. */
public class CustomerDirectoryTest {

  private static ForwardRoute route(boolean publicAccess) {
    List<ServiceShare> shares = List.of(new ServiceShare("s", 1));
    return new ForwardRoute(
        "r", "h", "/", RequestKind.SAFE, 1_000, 200, 2, shares, 1, false, publicAccess);
  }

  private static Customer customer(String name, String... keys) {
    return new Customer(name, List.of(keys), Optional.empty(), Allowance.UNLIMITED);
  }

  private static CustomerDirectory directory(Customer... customers) {
    return new CustomerDirectory(new DeclaredCustomers(true, List.of(customers)));
  }

  private static Optional<String> nameFor(CustomerDirectory directory, String... keys) {
    return directory.identify(route(false), List.of(keys)).flatMap(CallerIdentity::customerName);
  }

  @Test
  public void keyNamesItsCustomer() {
    CustomerDirectory directory = directory(customer("a", "k1", "k2"), customer("b", "k3"));
    assertEquals(nameFor(directory, "k2"), Optional.of("a"));
    assertEquals(nameFor(directory, "k3"), Optional.of("b"));
  }

  // A request whose key no configuration holds must not run.
  @Test
  public void requestWithoutValidKeyIsRefused() {
    CustomerDirectory directory = directory(customer("a", "k1"));
    assertTrue(directory.identify(route(false), List.of()).isEmpty());
    assertTrue(directory.identify(route(false), List.of("k9")).isEmpty());
    assertTrue(directory.identify(route(false), List.of("k1 ")).isEmpty());
  }

  // Of two keys another host could take the other one.
  @Test
  public void requestWithTwoKeysIsRefused() {
    CustomerDirectory directory = directory(customer("a", "k1"), customer("b", "k2"));
    assertTrue(directory.identify(route(false), List.of("k1", "k2")).isEmpty());
  }

  @Test
  public void customerThatLostAllKeysIsKnownAndHasNoCallers() {
    CustomerDirectory directory = directory(customer("a"));
    assertTrue(directory.find("a").isPresent());
    assertTrue(directory.identify(route(false), List.of("k1")).isEmpty());
  }

  // An empty list of customers must not open all routes.
  @Test
  public void emptyDeclarationRequiresKeys() {
    assertTrue(directory().identify(route(false), List.of()).isEmpty());
  }

  @Test
  public void publicRouteNeedsNoKeyAndHasNoCustomer() {
    CallerIdentity identity =
        directory(customer("a", "k1")).identify(route(true), List.of("k1")).orElseThrow();
    assertTrue(identity.declared());
    assertTrue(identity.customer().isEmpty());
  }

  @Test
  public void withoutDeclarationNoKeyIsNeeded() {
    CallerIdentity identity =
        new CustomerDirectory(DeclaredCustomers.NONE)
            .identify(route(false), List.of("k1"))
            .orElseThrow();
    assertFalse(identity.declared());
    assertEquals(identity.priority(2), 2);
  }

  @Test
  public void priorityOfCustomerPrecedesThatOfRoute() {
    Customer urgent = new Customer("a", List.of("k"), Optional.of(0), Allowance.UNLIMITED);
    assertEquals(CallerIdentity.of(urgent).priority(2), 0);
    assertEquals(CallerIdentity.of(customer("b", "k")).priority(2), 2);
  }
}
