import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Cuts two zones off from each other while a host of one of them owns an idle model server in a third
 * zone, which both zones reach. A host of the other zone becomes the owner and fills the server's
 * places. An order of the former owner is refused and stays in its queue; it is sent once that host
 * owns the server again, although the server has no place left.
 */
final class StaleLoad {

  private static final long CUT_MILLIS = 11_500;

  private StaleLoad() {}

  public static void main(String[] arguments) {
    System.exit(Cases.run(arguments, StaleLoad::play));
  }

  private static List<String> play(Deployment deployment, boolean trouble) throws IOException, InterruptedException {
    Cases.publishConfiguration(deployment);
    EngineServer engine = new EngineServer(deployment, "i-7f3a91c2", "zone-c");
    Cases.startHosts(deployment);
    for (int adapter = 1; adapter <= 5; adapter++) {
      Cases.requireServed(deployment, 1, "a" + adapter, 10_000);
    }
    int owner = Deployment.numberOf(engine.latestHolder());
    int other = owner == 1 ? 2 : 1;
    deployment.record("host-" + owner + " owns the server; host-" + other + " is in the other zone");
    Thread.sleep(3_000);
    long cutAt = Deployment.now();
    if (trouble) {
      // zone-a has host-1 only, zone-b has host-2 and host-3.
      deployment.setCutFromHosts(1, true);
    }
    // Clients of the other zone ask for a7 until a host there may order it.
    Cases.requireServed(deployment, other, "a7", 8_000);
    Cases.ask(deployment, owner, "a8", false);
    // Streams of adapters that the server holds, which need no order.
    Thread.sleep(2_000);
    Thread reader = new Thread(() -> Cases.ask(deployment, other, "a1", true));
    reader.start();
    while (Deployment.now() < cutAt + CUT_MILLIS && !engine.isCrashed()) {
      Thread.sleep(20);
    }
    reader.join();
    if (trouble) {
      deployment.setCutFromHosts(1, false);
    }
    Thread.sleep(1_000);
    List<String> breaks = new ArrayList<>();
    if (engine.isCrashed()) {
      breaks.add(
          "LIMIT: the server was ordered to load more adapters than its adapter_slots hold; it crashed and cut "
              + engine.cutStreams() + " streams");
    }
    engine.close();
    return breaks;
  }
}
