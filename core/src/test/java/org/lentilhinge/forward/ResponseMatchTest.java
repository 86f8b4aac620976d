package org.lentilhinge.forward;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Optional;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests which responses belong to the request in flight. */
public class ResponseMatchTest {

  @DataProvider
  public static Object[][] cases() {
    return new Object[][] {
      {Optional.of("own"), List.of("own"), false, ResponseMatch.NAMED},
      {Optional.of("own"), List.of("own", "own"), false, ResponseMatch.NAMED},
      {Optional.of("own"), List.of("own"), true, ResponseMatch.NAMED},
      {Optional.of("own"), List.of("former"), false, ResponseMatch.OTHER},
      {Optional.of("own"), List.of("former"), true, ResponseMatch.OTHER},
      {Optional.of("own"), List.of("own", "former"), false, ResponseMatch.OTHER},
      {Optional.of("own"), List.of("former", "own"), true, ResponseMatch.OTHER},
      {Optional.of("own"), List.of("own, former"), true, ResponseMatch.OTHER},
      {Optional.of("own"), List.of(), false, ResponseMatch.UNKNOWN},
      {Optional.of("own"), List.of(""), false, ResponseMatch.UNKNOWN},
      {Optional.of("own"), List.of(), true, ResponseMatch.EXCLUSIVE},
      {Optional.of("own"), List.of(" "), true, ResponseMatch.EXCLUSIVE},
      {Optional.empty(), List.of(), true, ResponseMatch.EXCLUSIVE},
      {Optional.empty(), List.of(), false, ResponseMatch.UNKNOWN},
      {Optional.empty(), List.of("former"), true, ResponseMatch.OTHER},
    };
  }

  @Test(dataProvider = "cases")
  public void matchFollowsFromNamesAndConnection(
      Optional<String> requestId, List<String> named, boolean exclusive, ResponseMatch expected) {
    ResponseMatch match = ResponseMatch.of(requestId, named, exclusive);
    assertEquals(match, expected);
    boolean requestInFlight =
        expected == ResponseMatch.NAMED || expected == ResponseMatch.EXCLUSIVE;
    assertEquals(match.isMatch(), requestInFlight);
  }
}
