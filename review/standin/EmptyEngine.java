import java.io.IOException;
import java.util.List;

/**
 * The entry ONE of KNOWN-RED.txt: a model server joins empty while two groups of hosts read the store
 * but not each other. Both take it over, and clients on both sides ask for the same adapter.
 */
final class EmptyEngine {

  private static final long TAKEOVER_MILLIS = 6_500;
  private static final int ROUNDS = 2;

  private EmptyEngine() {}

  public static void main(String[] arguments) {
    System.exit(Cases.run(arguments, EmptyEngine::play));
  }

  private static List<String> play(Deployment deployment, boolean trouble) throws IOException, InterruptedException {
    Cases.publishConfiguration(deployment);
    Cases.startHosts(deployment);
    if (trouble) {
      deployment.setCutFromHosts(1, true);
    }
    Thread.sleep(2_000);
    EngineServer engine = new EngineServer(deployment, "i-7f3a91c2", "zone-c");
    Thread.sleep(TAKEOVER_MILLIS);
    for (int round = 0; round < ROUNDS; round++) {
      String adapter = "b" + round;
      Thread other = new Thread(() -> Cases.ask(deployment, 2, adapter, false));
      other.start();
      Thread.sleep(100);
      Cases.ask(deployment, 1, adapter, false);
      other.join();
    }
    if (trouble) {
      deployment.setCutFromHosts(1, false);
    }
    Thread.sleep(1_000);
    engine.close();
    return StaleOwner.breaks(engine.orders);
  }
}
