package org.lentilhinge.forward;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Optional;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests which responses belong to the request in flight. */
public class ResponseMatchTest {

  private static final Optional<String> OWN = Optional.of("own");
  private static final Optional<String> NO_ID = Optional.empty();

  @DataProvider
  public static Object[][] cases() {
    return new Object[][] {
      {OWN, List.of("own"), true, false, ResponseMatch.NAMED},
      {OWN, List.of("own", "own"), true, false, ResponseMatch.NAMED},
      {OWN, List.of("own"), false, true, ResponseMatch.NAMED},
      {OWN, List.of("former"), true, false, ResponseMatch.OTHER},
      {OWN, List.of("former"), false, true, ResponseMatch.OTHER},
      {OWN, List.of("own", "former"), true, false, ResponseMatch.OTHER},
      {OWN, List.of("former", "own"), false, true, ResponseMatch.OTHER},
      {OWN, List.of("own, former"), false, true, ResponseMatch.OTHER},
      {OWN, List.of(), true, false, ResponseMatch.UNKNOWN},
      {OWN, List.of(""), false, false, ResponseMatch.UNKNOWN},
      {OWN, List.of(), true, true, ResponseMatch.UNKNOWN},
      {OWN, List.of(), false, true, ResponseMatch.EXCLUSIVE},
      {OWN, List.of(" "), false, true, ResponseMatch.EXCLUSIVE},
      {NO_ID, List.of(), true, true, ResponseMatch.EXCLUSIVE},
      {NO_ID, List.of("generated"), true, true, ResponseMatch.EXCLUSIVE},
      {NO_ID, List.of(), false, false, ResponseMatch.UNKNOWN},
      {NO_ID, List.of("former"), true, false, ResponseMatch.UNKNOWN},
    };
  }

  @Test(dataProvider = "cases")
  public void matchFollowsFromNamesAndConnection(
      Optional<String> requestId,
      List<String> named,
      boolean success,
      boolean exclusive,
      ResponseMatch expected) {
    assertEquals(ResponseMatch.of(requestId, named, success, exclusive), expected);
  }

  @Test
  public void onlyProvedResponsesMatch() {
    List<ResponseMatch> matches =
        List.of(ResponseMatch.NAMED, ResponseMatch.EXCLUSIVE, ResponseMatch.ORDERED);
    for (ResponseMatch match : ResponseMatch.values()) {
      assertEquals(match.isMatch(), matches.contains(match), match.name());
    }
  }
}
