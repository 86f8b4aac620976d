import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Lets one open channel between two hosts go silent while streams end. Later, when nothing runs at the
 * model server, clients ask for other adapters again and again.
 */
final class LostReturns {

  private static final long CALM_MILLIS = 8_000;
  private static final long ASKING_MILLIS = 24_000;
  private static final int NEW_ADAPTERS = 6;

  private LostReturns() {}

  public static void main(String[] arguments) {
    System.exit(Cases.run(arguments, LostReturns::play));
  }

  private static List<String> play(Deployment deployment, boolean trouble) throws IOException, InterruptedException {
    Cases.publishConfiguration(deployment);
    EngineServer engine = new EngineServer(deployment, "i-7f3a91c2", "zone-a");
    Cases.startHosts(deployment);
    for (int adapter = 1; adapter <= EngineServer.ADAPTER_SLOTS; adapter++) {
      Cases.requireServed(deployment, 2, "a" + adapter, 10_000);
    }
    int owner = Deployment.numberOf(engine.latestHolder());
    int sender = owner == 2 ? 3 : 2;
    deployment.record("host-" + owner + " owns the server; streams run over host-" + sender);
    List<Thread> streams = new ArrayList<>();
    for (int adapter = 1; adapter <= EngineServer.ADAPTER_SLOTS; adapter++) {
      String name = "a" + adapter;
      streams.add(new Thread(() -> Cases.ask(deployment, sender, name, true)));
    }
    streams.forEach(Thread::start);
    Thread.sleep(2_800);
    if (trouble) {
      deployment.silence(sender, owner);
    }
    for (Thread stream : streams) {
      stream.join();
    }
    Thread.sleep(CALM_MILLIS);
    deployment.record("nothing runs at the server: " + engine.places());
    return breaks(askForNewAdapters(deployment));
  }

  /** Asks for each new adapter every two seconds, at one host after the other, and counts the answers. */
  private static Map<String, List<Integer>> askForNewAdapters(Deployment deployment) throws InterruptedException {
    Map<String, List<Integer>> answers = new LinkedHashMap<>();
    long end = Deployment.now() + ASKING_MILLIS;
    for (int round = 0; Deployment.now() < end; round++) {
      int host = 1 + round % 3;
      List<Thread> askers = new ArrayList<>();
      for (int number = 1; number <= NEW_ADAPTERS; number++) {
        String adapter = "n" + number;
        List<Integer> own = answers.computeIfAbsent(adapter, unused -> new ArrayList<>());
        askers.add(new Thread(() -> own.add(Cases.ask(deployment, host, adapter, false))));
      }
      for (Thread asker : askers) {
        asker.start();
        Thread.sleep(300);
      }
      for (Thread asker : askers) {
        asker.join();
      }
    }
    return answers;
  }

  private static List<String> breaks(Map<String, List<Integer>> answers) {
    List<String> never = new ArrayList<>();
    answers.forEach(
        (adapter, statuses) -> {
          if (!statuses.contains(200)) {
            never.add(adapter + " (asked " + statuses.size() + " times: " + statuses + ")");
          }
        });
    // 1 + 10 in 100 of the adapters may be missed.
    return never.size() > 1 + answers.size() / 10
        ? List.of("Starved: never served, although the server is idle: " + never)
        : List.of();
  }
}
