package org.lentilhinge.overlay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.testng.annotations.Test;

/** Tests that {@link HostMajority} decides as the set operations do that define it. */
public class HostMajorityReferenceTest {

  private static final int SEEDS = 2_000;
  private static final int TICKS = 200;

  /** The time for which silent hosts count, in milliseconds. */
  private static final long SILENT_HOST_MILLIS = 30_000;

  /** The time after which a host is not recently heard, in milliseconds. */
  private static final long HEARD_MILLIS = 1_400;

  /** The decision by sets of names, from a model of the membership of its own. */
  private static final class Reference {
    final Map<String, Long> heardAtMillis = new HashMap<>();
    final Map<String, HostRecord> live = new TreeMap<>();
    final Map<String, HostRecord> lost = new TreeMap<>();
    final Map<String, Long> lostAtMillis = new HashMap<>();
    private final String self;
    private final Set<String> seeds;
    private final Map<String, Long> seedNamedAtMillis = new HashMap<>();
    private long startedAtMillis = -1;
    private long heldAtMillis;
    private boolean held;
    private boolean heldOnce;
    private boolean reachesAll;

    Reference(String self, Set<String> seeds) {
      this.self = self;
      this.seeds = seeds;
      held = seeds.isEmpty();
      heldOnce = held;
      reachesAll = held;
    }

    void update(Set<String> neighbors, Set<String> disconnected, long nowMillis) {
      if (startedAtMillis < 0) {
        startedAtMillis = nowMillis;
        heldAtMillis = nowMillis;
      }
      seeds.forEach(seed -> seedNamedAtMillis.putIfAbsent(seed, nowMillis));
      Set<String> heard = new HashSet<>(heardAtMillis.keySet());
      heard.removeIf(host -> heardAtMillis.get(host) < nowMillis - HEARD_MILLIS);
      boolean hearsAll = neighbors.size() >= live.size();
      held = hearsAll || heard.size() >= neighbors.size();
      if (held) {
        Set<String> silent = silent(nowMillis);
        Set<String> reached = new TreeSet<>(Set.of(self));
        for (HostRecord host : live.values()) {
          boolean isReached =
              !disconnected.contains(host.host()) && (!hearsAll || heard.contains(host.host()));
          if (!host.leaving()) {
            (isReached ? reached : silent).add(host.host());
          }
        }
        reachesAll = silent.isEmpty();
        held = isMajority(reached, silent);
      }
      if (held) {
        heldOnce = true;
        heldAtMillis = nowMillis;
      }
    }

    /** Returns the hosts that may be running although they are not live. */
    private Set<String> silent(long nowMillis) {
      Set<String> silent = new TreeSet<>(lost.keySet());
      silent.removeIf(
          host ->
              lost.get(host).leaving() || lostAtMillis.get(host) < nowMillis - SILENT_HOST_MILLIS);
      Set<String> unknown = new TreeSet<>(seeds);
      unknown.removeAll(live.keySet());
      unknown.removeAll(lost.keySet());
      unknown.removeIf(seed -> nowMillis - seedNamedAtMillis.get(seed) >= SILENT_HOST_MILLIS);
      silent.addAll(unknown);
      return silent;
    }

    private static boolean isMajority(Set<String> reached, Set<String> silent) {
      Set<String> all = new TreeSet<>(reached);
      all.addAll(silent);
      int difference = 2 * reached.size() - all.size();
      return difference > 0 || (difference == 0 && reached.contains(all.iterator().next()));
    }
  }

  /** A random history of one host's membership, which the decision and the reference both see. */
  private static final class History {
    private final Random random;
    private final List<String> names = new ArrayList<>();
    private final Set<String> seeds = new LinkedHashSet<>();
    private final Set<String> disconnected = new HashSet<>();
    private final HostView view = new HostView();
    private final FailureDetector detector = new FailureDetector();
    private final HostMajority majority;
    private final Reference reference;
    private long now;
    private long version;

    History(int seed) {
      random = new Random(seed);
      int others = seed % 20 == 0 ? 60 : random.nextInt(14);
      for (int index = 0; index <= others; index++) {
        names.add("10.0.0." + index);
      }
      String self = names.remove(random.nextInt(names.size()));
      names.stream().filter(name -> random.nextInt(4) == 0).forEach(seeds::add);
      now = random.nextInt(100_000);
      majority = new HostMajority(self, seeds, view, detector);
      reference = new Reference(self, seeds);
    }

    void disturb() {
      if (names.isEmpty()) {
        return;
      }
      String host = names.get(random.nextInt(names.size()));
      switch (random.nextInt(10)) {
        case 0 -> lose(host);
        case 1 -> disconnected.add(host);
        case 2 -> disconnected.remove(host);
        case 3 -> seeds.add(host);
        case 4 -> forgetLost();
        case 5 -> names.stream().filter(name -> random.nextBoolean()).forEach(this::hear);
        case 6 -> put(host, random.nextInt(3) == 0);
        case 7 -> put(host, false);
        default -> hear(host);
      }
    }

    private void put(String host, boolean leaving) {
      HostRecord entry = new HostRecord(host, "zone", "region", 1, version++, leaving);
      view.put(entry);
      reference.live.put(host, entry);
      reference.lost.remove(host);
    }

    private void hear(String host) {
      // A contact alone shows nothing of the host's view and must not count.
      detector.recordContact(names.get(random.nextInt(names.size())), now);
      detector.recordAcceptance(host, now);
      reference.heardAtMillis.put(host, now);
    }

    private void lose(String host) {
      HostRecord entry = reference.live.remove(host);
      if (entry != null) {
        view.lose(entry, now);
        reference.lost.put(host, entry);
        reference.lostAtMillis.put(host, now);
        if (random.nextInt(4) != 0) {
          detector.remove(host);
          reference.heardAtMillis.remove(host);
        }
      }
    }

    /** Forgets lost hosts after their ten minutes, of which some histories skip a part. */
    private void forgetLost() {
      if (random.nextInt(20) == 0) {
        now += 200_000;
      }
      view.forgetLost(now);
      reference.lost.keySet().removeIf(host -> now - reference.lostAtMillis.get(host) > 600_000);
    }

    /** Lets time pass, mostly by a tick and at times up to the bounds of the decision. */
    void update() {
      long[] steps = {0, 50, 50, 300, HEARD_MILLIS, HEARD_MILLIS + 1, 10_000, SILENT_HOST_MILLIS};
      now += steps[random.nextInt(random.nextInt(4) == 0 ? steps.length : 4)];
      List<String> others = new ArrayList<>(reference.live.keySet());
      Set<String> neighbors =
          random.nextInt(3) == 0
              ? new HashSet<>(others.subList(0, random.nextInt(others.size() + 1)))
              : HostRing.neighbors(reference.self, others);
      majority.update(neighbors, disconnected, now);
      reference.update(neighbors, disconnected, now);
    }

    void assertAgreement(String when) {
      assertEquals(majority.isWhole(), reference.held && reference.reachesAll, when);
      assertEquals(majority.wasHeld(), reference.heldOnce, when);
      long millisWithout = reference.held ? 0 : Math.max(1, now - reference.heldAtMillis);
      assertEquals(majority.millisWithout(now), millisWithout, when);
    }
  }

  // Lists that are kept from tick to tick took the place of sets that were built at each.
  @Test
  public void decidesAsSetsOfNamesInRandomHistories() {
    int held = 0;
    int whole = 0;
    for (int seed = 0; seed < SEEDS; seed++) {
      History history = new History(seed);
      history.assertAgreement("seed " + seed + " at the start");
      for (int tick = 0; tick < TICKS; tick++) {
        for (int events = history.random.nextInt(4); events > 0; events--) {
          history.disturb();
        }
        history.update();
        history.assertAgreement("seed " + seed + ", tick " + tick);
        held += history.reference.held ? 1 : 0;
        whole += history.majority.isWhole() ? 1 : 0;
      }
    }
    // Histories in which the decision hardly varies would show nothing.
    int decisions = SEEDS * TICKS;
    assertTrue(held > decisions / 5 && held < decisions * 4 / 5, "held: " + held);
    assertTrue(whole > decisions / 50 && whole < held, "whole: " + whole);
  }

  @Test
  public void decidesAsSetsOfNamesBetweenRandomParts() {
    for (int seed = 0; seed < SEEDS; seed++) {
      Random random = new Random(seed);
      Set<String> reached = new HashSet<>(Set.of("10.0.0." + random.nextInt(20)));
      Set<String> silent = new HashSet<>();
      for (int index = 0; index < 20; index++) {
        String host = "10.0.0." + index;
        if (!reached.contains(host) && random.nextInt(3) != 0) {
          (random.nextBoolean() ? reached : silent).add(host);
        }
      }
      boolean expected = Reference.isMajority(reached, silent);
      assertEquals(HostMajority.isMajority(reached, silent), expected, reached + " " + silent);
    }
  }
}
