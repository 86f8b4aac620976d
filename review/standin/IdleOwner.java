import java.io.IOException;
import java.util.List;

/**
 * Cuts one of three hosts off from the other two and from the store while it owns an idle model server. Another host
 * takes the server over. Clients on both sides then ask for the same adapter: both hosts order it,
 * the former owner with its older fencing token, and the server confirms both orders.
 */
final class IdleOwner {

  private static final long CUT_MILLIS = 11_500;
  private static final long TAKEOVER_MILLIS = 6_500;
  private static final int ROUNDS = 2;

  private IdleOwner() {}

  public static void main(String[] arguments) {
    System.exit(Cases.run(arguments, IdleOwner::play));
  }

  private static List<String> play(Deployment deployment, boolean trouble) throws IOException, InterruptedException {
    Cases.publishConfiguration(deployment);
    EngineServer engine = new EngineServer(deployment, "i-7f3a91c2", "zone-a");
    Cases.startHosts(deployment);
    for (int adapter = 1; adapter <= 3; adapter++) {
      Cases.requireServed(deployment, 1, "a" + adapter, 10_000);
    }
    Thread.sleep(3_000);
    long cutAt = Deployment.now();
    if (trouble) {
      deployment.setCutOff(1, true);
    }
    // More than the lease and the time in which the other hosts find that host-1 is lost.
    Thread.sleep(TAKEOVER_MILLIS);
    // A trade calls on both sides at the same time, and then on the side of the former owner.
    for (int round = 0; round < ROUNDS; round++) {
      String adapter = "b" + round;
      Thread other = new Thread(() -> Cases.ask(deployment, 2, adapter, false));
      other.start();
      Thread.sleep(100);
      Cases.ask(deployment, 1, adapter, false);
      other.join();
      Cases.ask(deployment, 1, "c" + round, false);
    }
    while (trouble && Deployment.now() < cutAt + CUT_MILLIS) {
      Thread.sleep(20);
    }
    if (trouble) {
      deployment.setCutOff(1, false);
    }
    Thread.sleep(1_000);
    engine.close();
    return StaleOwner.breaks(engine.orders);
  }
}
