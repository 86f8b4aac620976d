import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * Lets a model server hand out wrong bytes: it breaks off some of its answers to orders, and sends some
 * of its refusals of orders once more, late. Clients ask for an adapter that the server holds all the
 * time, and now and then two of them for new adapters.
 */
final class RepeatedAnswer {

  private static final int REQUESTS = 1_400;
  private static final long REQUEST_MILLIS = 25;
  private static final int REQUESTS_PER_GARBLE = 70;

  /** The largest share of answers that are spoilt, as the site's files have it (garble, x). */
  private static final double MAXIMUM_SHARE = 0.03;

  private RepeatedAnswer() {}

  public static void main(String[] arguments) {
    System.exit(Cases.run(arguments, RepeatedAnswer::play));
  }

  private static List<String> play(Deployment deployment, boolean trouble) throws IOException, InterruptedException {
    Cases.publishConfiguration(deployment);
    EngineServer engine = new EngineServer(deployment, "i-7f3a91c2", "zone-a");
    deployment.startHost(1, "zone-a");
    if (!deployment.awaitReady(1, 20_000)) {
      throw new IOException("host-1 is not ready");
    }
    Thread.sleep(6_000);
    Cases.requireServed(deployment, 1, "a1", 10_000);
    List<Integer> statuses = Collections.synchronizedList(new ArrayList<>());
    List<Thread> clients = new ArrayList<>();
    for (int number = 1; number <= REQUESTS; number++) {
      clients.add(ask(deployment, "a1", statuses));
      if (number % REQUESTS_PER_GARBLE == 0) {
        if (trouble) {
          engine.garble(1, 1);
        }
        clients.add(ask(deployment, "x" + number, statuses));
        clients.add(ask(deployment, "y" + number, statuses));
      }
      Thread.sleep(REQUEST_MILLIS);
    }
    for (Thread client : clients) {
      client.join();
    }
    engine.close();
    deployment.record(engine.garbledAnswers() + " of " + engine.answers() + " answers of the server were spoilt");
    if (engine.garbledAnswers() > MAXIMUM_SHARE * engine.answers()) {
      throw new IOException("more answers were spoilt than the pages allow");
    }
    long foreign = statuses.stream().filter(status -> status == 409).count();
    return foreign == 0
        ? List.of()
        : List.of("MIXED: " + foreign + " clients got the status 409, with which the server had answered an order of the host");
  }

  private static Thread ask(Deployment deployment, String adapter, List<Integer> statuses) {
    Thread client = new Thread(() -> statuses.add(Cases.ask(deployment, 1, adapter, false)));
    client.start();
    return client;
  }
}
