package org.lentilhinge.runtime.decision;

import static org.testng.Assert.assertEquals;

import org.lentilhinge.identity.AdapterId;
import org.lentilhinge.identity.AdapterVersion;
import org.lentilhinge.identity.CallerId;
import org.lentilhinge.identity.EndpointId;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.identity.HostIncarnation;
import org.lentilhinge.identity.RequestId;
import org.testng.annotations.Test;

/** Tests the key-value and JSON formats of the decision log. */
public class DecisionFormatTest {

  private static final Decision ROUTE =
      Decision.of(DecisionKind.ROUTE, "resident")
          .withRequest(new RequestId(new HostIncarnation(new HostId("entry-1"), 7), 3))
          .withCaller(new CallerId("water-utility"))
          .withAdapter(new AdapterVersion(new AdapterId("drains-sofia"), 3))
          .withEndpoint(new EndpointId("engine-1"))
          .withWaitMillis(12);

  @Test
  public void writesAllKeysInOrder() {
    assertEquals(
        new KeyValueFormat().render(ROUTE),
        "decision=route request=entry-1/7/3 caller=water-utility adapter=drains-sofia version=3"
            + " endpoint=engine-1 reason=\"resident\" wait=12ms");
  }

  @Test
  public void writesHyphensForAbsentAttributes() {
    assertEquals(
        new KeyValueFormat().render(Decision.of(DecisionKind.LEASE, "lost")),
        "decision=lease request=- caller=- adapter=- version=- endpoint=- reason=\"lost\" wait=-");
  }

  @Test
  public void escapesReasonOnOneLine() {
    Decision forged = Decision.of(DecisionKind.REFUSE, "x\" wait=1ms\ndecision=\\");
    assertEquals(
        new KeyValueFormat().render(forged),
        "decision=refuse request=- caller=- adapter=- version=- endpoint=-"
            + " reason=\"x\\\" wait=1ms decision=\\\\\" wait=-");
  }

  @Test
  public void writesJson() {
    assertEquals(
        new JsonFormat().render(ROUTE),
        "{\"decision\":\"route\",\"request\":\"entry-1/7/3\",\"caller\":\"water-utility\","
            + "\"adapter\":\"drains-sofia\",\"version\":3,\"endpoint\":\"engine-1\","
            + "\"reason\":\"resident\",\"waitMillis\":12}");
  }
}
