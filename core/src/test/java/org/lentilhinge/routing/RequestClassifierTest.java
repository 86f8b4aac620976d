package org.lentilhinge.routing;

import static org.testng.Assert.assertEquals;

import io.vavr.control.Either;
import java.util.List;
import java.util.Map;
import org.lentilhinge.configuration.Rule;
import org.lentilhinge.identity.CallerId;
import org.testng.annotations.Test;

/** Tests the mapping of requests to adapter versions by rules. */
public class RequestClassifierTest {

  private final List<Rule> rules =
      List.of(
          SampleFleet.rule("by-model", "bilbao", "dimmers", "dimmer-finder"),
          SampleFleet.rule("general", "bilbao", "lamps", ""),
          SampleFleet.rule("shadowed", "bilbao", "unused", "lamp-finder"),
          SampleFleet.rule("other", "santander", "rivals", "dimmer-finder"));
  private final RequestClassifier classifier =
      new RequestClassifier(SampleFleet.configuration(SampleFleet.STALL_WEIGHTED_POLICY, rules));

  @Test
  public void findsTheRuleOfTheNamedModel() {
    assertEquals(classify("bilbao", "dimmer-finder").get().rule(), "by-model");
  }

  @Test
  public void appliesFirstMatchingRuleBeforeRuleThatNamesTheModel() {
    assertEquals(classify("bilbao", "lamp-finder").get().rule(), "general");
  }

  @Test
  public void runsOnTheActiveVersion() {
    assertEquals(classify("bilbao", "dimmer-finder").get().version().number(), 2);
  }

  @Test
  public void doesNotApplyRulesOfOtherCallers() {
    assertEquals(
        classify("santander", "lamp-finder"), Either.left(ClassificationRefusal.NO_MATCHING_RULE));
  }

  @Test
  public void refusesAnUndeclaredCaller() {
    assertEquals(
        classify("nobody", "dimmer-finder"), Either.left(ClassificationRefusal.UNKNOWN_CALLER));
  }

  private Either<ClassificationRefusal, ClassifiedRequest> classify(String caller, String model) {
    return classifier.classify(new CallerId(caller), new RequestAttributes(Map.of("model", model)));
  }
}
