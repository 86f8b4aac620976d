import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Cuts one of three hosts off from the other two and from the store while it owns an idle model server, so that another
 * host takes the server over. Then the server crashes and starts again under its id, without a path
 * to the store for a while. Both hosts adopt the lower count of orders and go on ordering.
 */
final class StaleOwner {

  private static final long CUT_MILLIS = 11_500;
  private static final long LEASE_MILLIS = 3_000;

  private StaleOwner() {}

  public static void main(String[] arguments) {
    System.exit(Cases.run(arguments, StaleOwner::play));
  }

  private static List<String> play(Deployment deployment, boolean trouble) throws IOException, InterruptedException {
    Cases.publishConfiguration(deployment);
    EngineServer engine = new EngineServer(deployment, "i-7f3a91c2", "zone-a");
    Cases.startHosts(deployment);
    for (int adapter = 1; adapter <= 4; adapter++) {
      Cases.requireServed(deployment, 1, "a" + adapter, 10_000);
    }
    Thread.sleep(2_000);
    long cutAt = Deployment.now();
    if (trouble) {
      deployment.setCutOff(1, true);
    }
    Cases.requireServed(deployment, 2, "a5", 9_000);
    EngineServer restarted = engine;
    if (trouble) {
      deployment.record("the server crashes and starts again under its id, cut off from the store");
      engine.close();
      Thread.sleep(200);
      restarted = engine.startAgain(5_000);
    }
    Thread.sleep(300);
    Thread other = new Thread(() -> Cases.ask(deployment, 2, "a7", false));
    other.start();
    Thread.sleep(700);
    Cases.ask(deployment, 1, "a8", false);
    other.join();
    while (trouble && Deployment.now() < cutAt + CUT_MILLIS) {
      Thread.sleep(20);
    }
    if (trouble) {
      deployment.setCutOff(1, false);
    }
    Thread.sleep(1_000);
    restarted.close();
    return breaks(restarted.orders);
  }

  /** Judges the orders that one incarnation of the server carried out or confirmed. */
  static List<String> breaks(List<EngineServer.Order> orders) {
    List<String> breaks = new ArrayList<>();
    EngineServer.Order highest = null;
    EngineServer.Order former = null;
    for (EngineServer.Order order : orders) {
      if (order.status() != 202 && order.status() != 200) {
        continue;
      }
      if (highest != null && order.fence() < highest.fence()) {
        breaks.add(
            "ONE: order of " + order.holder() + " at " + order.atMillis() + " ms with fence " + order.fence()
                + " after fence " + highest.fence() + " of " + highest.holder() + " at " + highest.atMillis() + " ms");
      }
      boolean turn = former != null && !former.holder().equals(order.holder());
      if (turn && order.atMillis() - former.atMillis() < LEASE_MILLIS) {
        breaks.add(
            "ONE: orders of " + former.holder() + " at " + former.atMillis() + " ms and of " + order.holder() + " at "
                + order.atMillis() + " ms are less than the lease apart");
      }
      if (highest == null || order.fence() > highest.fence()) {
        highest = order;
      }
      former = order;
    }
    return breaks;
  }
}
