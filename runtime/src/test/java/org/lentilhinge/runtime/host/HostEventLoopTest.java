package org.lentilhinge.runtime.host;

import static org.testng.Assert.assertEquals;

import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import org.lentilhinge.configuration.Urgency;
import org.lentilhinge.host.EntryHost;
import org.lentilhinge.host.GatewayRequest;
import org.lentilhinge.host.HostCommand;
import org.lentilhinge.host.HostEvent;
import org.lentilhinge.host.HostParameters;
import org.lentilhinge.identity.AdapterId;
import org.lentilhinge.identity.AdapterVersion;
import org.lentilhinge.identity.BaseModelId;
import org.lentilhinge.identity.CallerId;
import org.lentilhinge.identity.HostId;
import org.lentilhinge.identity.HostIncarnation;
import org.lentilhinge.identity.RequestId;
import org.lentilhinge.identity.ZoneId;
import org.lentilhinge.routing.ClassifiedRequest;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the order of events and commands, and that a failed command does not stop the loop. */
public class HostEventLoopTest {

  private static final HostIncarnation INCARNATION = new HostIncarnation(new HostId("entry-1"), 1);

  private Vertx vertx;
  private HostEventLoop loop;

  /** Creates a loop for a host without a configuration, which refuses every request. */
  @BeforeMethod
  public void create() {
    vertx = Vertx.vertx();
    EntryHost host =
        new EntryHost(
            INCARNATION,
            new ZoneId("zone-1"),
            List.of(),
            HostParameters.defaults(),
            new Random(1),
            0);
    loop = new HostEventLoop(host, vertx.getOrCreateContext(), () -> 0, () -> 0);
  }

  /** Closes the Vert.x instance. */
  @AfterMethod(alwaysRun = true)
  public void close() {
    vertx.close();
  }

  @Test
  public void continuesAfterFailedCommand() {
    List<HostCommand> executed = new ArrayList<>();
    loop.setCommandHandler(
        command -> {
          if (executed.isEmpty()) {
            executed.add(command);
            throw new IllegalStateException("command failed");
          }
          executed.add(command);
        });
    loop.process(new HostEvent.AttemptRequested(request(1)));
    loop.process(new HostEvent.AttemptRequested(request(2)));
    assertEquals(executed.size(), 2);
  }

  @Test
  public void processesEventsRaisedByCommandsAfterCurrentEvent() {
    List<HostCommand> executed = new ArrayList<>();
    loop.setCommandHandler(
        command -> {
          if (executed.isEmpty()) {
            loop.process(new HostEvent.AttemptRequested(request(2)));
          }
          executed.add(command);
        });
    loop.process(new HostEvent.AttemptRequested(request(1)));
    assertEquals(
        executed.stream().map(command -> ((HostCommand.Refuse) command).request()).toList(),
        List.of(new RequestId(INCARNATION, 1), new RequestId(INCARNATION, 2)));
  }

  private static GatewayRequest request(long number) {
    ClassifiedRequest classified =
        new ClassifiedRequest(
            new CallerId("caller"),
            "rule",
            new AdapterVersion(new AdapterId("adapter"), 1),
            new BaseModelId("base"),
            1,
            Urgency.NORMAL);
    return new GatewayRequest(
        new RequestId(INCARNATION, number), 1, classified, Set.of(), OptionalLong.empty(), 1_000);
  }
}
