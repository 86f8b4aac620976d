package org.lentilhinge.runtime.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.codahale.metrics.MetricRegistry;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.lentilhinge.customer.Allowance;
import org.lentilhinge.customer.CallerIdentity;
import org.lentilhinge.customer.Customer;
import org.lentilhinge.forward.ForwardRoute;
import org.lentilhinge.forward.RequestKind;
import org.lentilhinge.permit.CustomerStanding;
import org.lentilhinge.permit.EngineCommand;
import org.lentilhinge.permit.PermitAnswer;
import org.lentilhinge.permit.PermitRequest;
import org.lentilhinge.permit.PermitTerms;
import org.lentilhinge.runtime.peer.MessageCodec;
import org.lentilhinge.runtime.peer.MessageFormatException;
import org.testng.annotations.Test;

/** Tests what permit requests state of their customers, and what is written about refusals. */
public class CustomerStandingTest {

  private static final ForwardRoute ROUTE =
      new ForwardRoute(
          "r", "h", "/", RequestKind.STREAM, 6_000, 1_000, 2, List.of(), 1, false, false);

  private static CallerIdentity acme() {
    Customer customer = new Customer("acme", List.of("k"), Optional.of(1), Allowance.UNLIMITED);
    return CallerIdentity.of(customer);
  }

  private static Optional<CustomerStanding> standing(CallerIdentity identity, long remaining) {
    return RequestPermit.standing(identity, ROUTE, remaining, name -> 1.5);
  }

  private static PermitRequest request(Optional<PermitTerms> terms) {
    return new PermitRequest(
        7, "r", "e", "m", "a", 0, 500, 50, 1, 1_000, 5_000, Optional.empty(), terms);
  }

  @Test
  public void standingStatesTheCustomerAndTheTimeSinceItsFirstAttempt() {
    assertEquals(standing(acme(), 5_400), Optional.of(new CustomerStanding("acme", 2, 1.5, 600)));
    assertEquals(standing(acme(), 100).orElseThrow().elapsedMillis(), 1_000);
    assertEquals(standing(acme(), 9_000).orElseThrow().elapsedMillis(), 0);
  }

  // Requests without a customer are ordered as in earlier builds.
  @Test
  public void requestWithoutCustomerStatesNoStanding() {
    assertTrue(standing(CallerIdentity.UNDECLARED, 5_000).isEmpty());
    assertTrue(standing(CallerIdentity.ANONYMOUS, 5_000).isEmpty());
  }

  @Test
  public void standingArrivesAtTheScheduler() throws MessageFormatException {
    MessageCodec codec = new MessageCodec(ForwardMessages.registry());
    PermitRequest request =
        request(Optional.of(new PermitTerms(standing(acme(), 5_400), 300, true)));
    assertEquals(codec.decode(codec.encode(request)), Optional.of(request));
  }

  @Test(timeOut = 10_000)
  public void refusalInFavorOfAnotherRequestIsLoggedAndCounted() throws InterruptedException {
    PermitRequest request =
        request(Optional.of(new PermitTerms(standing(acme(), 5_400), 0, false)));
    EngineCommand.Answer answer =
        EngineCommand.Answer.refusal("h", request, 200, PermitAnswer.DISPLACED, 30);
    BlockingQueue<String> lines = new LinkedBlockingQueue<>();
    ByteArrayOutputStream written = new ByteArrayOutputStream();
    PrintStream out =
        new PrintStream(written, false, StandardCharsets.UTF_8) {
          @Override
          public void flush() {
            super.flush();
            lines.add(written.toString(StandardCharsets.UTF_8));
          }
        };
    new OwnedEngineLog(new EventLog(out, () -> 0), OwnedEngineFixture.ENGINE, null)
        .writeAnswer(answer);
    String line = lines.take();
    assertTrue(line.contains("why=displaced waitedMs=30 retryMs=200"), line);
    assertTrue(line.contains("customer=acme priority=1 use=1.5"), line);
    MetricRegistry metrics = new MetricRegistry();
    new PermitMetrics(metrics).record(answer);
    assertEquals(metrics.counter("forward.permit-refusals.priority-1").getCount(), 1);
    assertEquals(metrics.counter("forward.permits-displaced").getCount(), 1);
  }
}
