package org.lentilhinge.forward;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Optional;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests which responses belong to the request in flight. */
public class ResponseOwnerTest {

  @DataProvider
  public static Object[][] cases() {
    return new Object[][] {
      {Optional.of("own"), List.of("own"), false, ResponseOwner.NAMED},
      {Optional.of("own"), List.of("own", "own"), false, ResponseOwner.NAMED},
      {Optional.of("own"), List.of("own"), true, ResponseOwner.NAMED},
      {Optional.of("own"), List.of("former"), false, ResponseOwner.OTHER},
      {Optional.of("own"), List.of("former"), true, ResponseOwner.OTHER},
      {Optional.of("own"), List.of("own", "former"), false, ResponseOwner.OTHER},
      {Optional.of("own"), List.of("former", "own"), true, ResponseOwner.OTHER},
      {Optional.of("own"), List.of("own, former"), true, ResponseOwner.OTHER},
      {Optional.of("own"), List.of(), false, ResponseOwner.UNKNOWN},
      {Optional.of("own"), List.of(""), false, ResponseOwner.UNKNOWN},
      {Optional.of("own"), List.of(), true, ResponseOwner.EXCLUSIVE},
      {Optional.of("own"), List.of(" "), true, ResponseOwner.EXCLUSIVE},
      {Optional.empty(), List.of(), true, ResponseOwner.EXCLUSIVE},
      {Optional.empty(), List.of(), false, ResponseOwner.UNKNOWN},
      {Optional.empty(), List.of("former"), true, ResponseOwner.OTHER},
    };
  }

  @Test(dataProvider = "cases")
  public void ownerFollowsFromNamesAndConnection(
      Optional<String> requestId, List<String> named, boolean exclusive, ResponseOwner expected) {
    ResponseOwner owner = ResponseOwner.of(requestId, named, exclusive);
    assertEquals(owner, expected);
    boolean requestInFlight =
        expected == ResponseOwner.NAMED || expected == ResponseOwner.EXCLUSIVE;
    assertEquals(owner.isRequestInFlight(), requestInFlight);
  }
}
