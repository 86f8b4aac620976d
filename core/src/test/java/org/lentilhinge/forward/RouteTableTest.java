package org.lentilhinge.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;

/** Tests the lookup of routes. */
public class RouteTableTest {

  private final RouteTable table =
      new RouteTable(
          List.of(route("short", "a.example", "/x/"), route("long", "a.example", "/x/y/")));

  private static ForwardRoute route(String name, String host, String prefix) {
    List<ServiceShare> shares = List.of(new ServiceShare("s", 1));
    return new ForwardRoute(
        name, host, prefix, RequestKind.SAFE, 1_000, 200, 0, shares, 1, false, false);
  }

  private String routeName(String host, String target) {
    return table.find(host, target).map(ForwardRoute::name).orElse("none");
  }

  @Test
  public void prefersTheLongestPrefix() {
    assertEquals(routeName("a.example", "/x/y/z"), "long");
    assertEquals(routeName("a.example", "/x/z"), "short");
  }

  @Test
  public void ignoresPortCaseAndQuery() {
    assertEquals(routeName("A.Example:8080", "/x/?path=/x/y/"), "short");
  }

  @Test
  public void findsNothingForOtherHostsAndPartialSegments() {
    assertEquals(routeName("b.example", "/x/z"), "none");
    assertEquals(routeName("a.example", "/xy/z"), "none");
    assertEquals(routeName("a.example", "/x"), "none");
  }

  @Test
  public void splitsByWeight() {
    List<ServiceShare> shares = List.of(new ServiceShare("a", 90), new ServiceShare("b", 10));
    ForwardRoute split =
        new ForwardRoute("r", "h", "/", RequestKind.SAFE, 1_000, 200, 0, shares, 1, false, false);
    int toB = 0;
    for (long hash = 0; hash < 1_000; hash++) {
      toB += split.selectService(hash).equals("b") ? 1 : 0;
    }
    assertEquals(toB, 100);
    assertTrue(split.selectService(-1).matches("[ab]"));
  }
}
