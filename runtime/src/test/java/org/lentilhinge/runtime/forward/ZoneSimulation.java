package org.lentilhinge.runtime.forward;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import org.lentilhinge.forward.ForwardConfiguration;
import org.lentilhinge.identity.StoreRevision;
import org.lentilhinge.message.PeerMessage;
import org.lentilhinge.published.DeclarationNews;
import org.lentilhinge.published.DeclaredState;
import org.lentilhinge.published.EndpointListing;
import org.lentilhinge.published.ListingNews;
import org.lentilhinge.runtime.peer.MessageCodec;

/**
 * Hosts that follow a store in another region, in virtual time. All transfers take the time that
 * their bytes need on the link between the regions and on the links of the hosts.
 */
final class ZoneSimulation extends VirtualTimeSimulation {

  private static final long TICK_MILLIS = 50;
  private static final long REGION_DELAY_MILLIS = 30;
  private static final long RESPONSE_TIMEOUT_MILLIS = 1_000;
  private static final int LISTING_BYTES = 100_000;
  private static final int PART_BYTES = 16_384;

  private final MessageCodec codec = new MessageCodec(ForwardMessages.registry());
  private final TreeMap<Long, Published> published = new TreeMap<>();
  private final List<Host> hosts = new ArrayList<>();
  private final Link regionLink;
  private final double hostBytesPerMilli;
  private final Random random;
  private int storeReads;

  /** A configuration in the store, with the length of a response that contains it. */
  private record Published(ForwardConfiguration configuration, int bytes, long atMillis) {}

  /** A link that transfers one message after the other. */
  private final class Link {
    private final double bytesPerMilli;
    private double busyUntilMillis;

    private Link(double bytesPerMilli) {
      this.bytesPerMilli = bytesPerMilli;
    }

    private long transfer(long startMillis, int bytes) {
      busyUntilMillis = Math.max(startMillis, busyUntilMillis) + bytes / bytesPerMilli;
      return (long) Math.ceil(busyUntilMillis);
    }
  }

  /**
   * Creates zones without hosts.
   *
   * @param regionMegabits the speed of the link to the store's region, in Mbit/s
   * @param hostMegabits the speed of the link of each host, in Mbit/s
   * @param seed the seed of all random decisions
   */
  ZoneSimulation(double regionMegabits, double hostMegabits, long seed) {
    regionLink = new Link(regionMegabits * 125);
    hostBytesPerMilli = hostMegabits * 125;
    random = new Random(seed);
  }

  /** Adds a zone, whose first host is the reader. */
  void addZone(int size) {
    List<Host> zone = new ArrayList<>();
    for (int index = 0; index < size; index++) {
      zone.add(new Host(zone, index));
    }
    hosts.addAll(zone);
    zone.forEach(host -> schedule(random.nextInt((int) TICK_MILLIS), host::tick));
  }

  /**
   * Publishes a configuration.
   *
   * @param configuration the configuration
   * @param bytes the length of a response that contains it
   */
  void publish(ForwardConfiguration configuration, int bytes) {
    published.put((long) published.size() + 1, new Published(configuration, bytes, now()));
  }

  /** Runs all events up to a time, in milliseconds. */
  void runUntil(long endMillis) {
    runEventsUntil(endMillis);
  }

  /**
   * Returns the hosts that have not applied the newest configuration that was published some time
   * ago.
   *
   * @param ageMillis the time for which a configuration may be unknown, in milliseconds
   */
  long outdatedHosts(long ageMillis) {
    Optional<Long> required =
        published.values().stream()
            .filter(entry -> entry.atMillis() <= now() - ageMillis)
            .map(entry -> entry.configuration().version().number())
            .max(Long::compare);
    return hosts.stream().filter(host -> host.version < required.orElse(0L)).count();
  }

  /** Returns the number of reads of declarations that were started. */
  int storeReads() {
    return storeReads;
  }

  private final class Host implements PublishedStore, StoreListener, ZoneGroup {
    private final List<Host> zone;
    private final int index;
    private final Link up = new Link(hostBytesPerMilli);
    private final Link down = new Link(hostBytesPerMilli);
    private final StoreFollower follower;
    private long version;

    private Host(List<Host> zone, int index) {
      this.zone = zone;
      this.index = index;
      follower =
          new StoreFollower(task -> schedule(0, task), () -> now(), this, this, this, random);
    }

    private void tick() {
      follower.tick();
      schedule(TICK_MILLIS, this::tick);
    }

    /** Transfers a response from the store part by part, as long as this host waits for it. */
    private <T> void respond(Promise<T> promise, T result, int bytes, long timeoutMillis) {
      ResponseTimeout timeout = ResponseTimeout.ofSilence(timeoutMillis, now());
      failWithoutProgress(promise, timeout);
      schedule(REGION_DELAY_MILLIS, () -> transferPart(promise, result, bytes, timeout));
    }

    private <T> void failWithoutProgress(Promise<T> promise, ResponseTimeout timeout) {
      long remainingMillis = timeout.remainingMillis(now());
      if (remainingMillis <= 0) {
        promise.tryFail(new IOException("timed out"));
      } else if (!promise.future().isComplete()) {
        schedule(remainingMillis, () -> failWithoutProgress(promise, timeout));
      }
    }

    private <T> void transferPart(
        Promise<T> promise, T result, int bytes, ResponseTimeout timeout) {
      if (promise.future().isComplete()) {
        return;
      }
      int part = Math.min(bytes, PART_BYTES);
      long arrivalMillis = down.transfer(regionLink.transfer(now(), part), part);
      schedule(
          arrivalMillis - now(),
          () -> {
            timeout.recordProgress(now());
            if (bytes > part) {
              transferPart(promise, result, bytes - part, timeout);
            } else {
              promise.tryComplete(result);
            }
          });
    }

    @Override
    public Future<EndpointListing> listEndpoints() {
      Promise<EndpointListing> promise = Promise.promise();
      EndpointListing listing =
          new EndpointListing(List.of(), new StoreRevision(0, published.size()));
      respond(promise, listing, LISTING_BYTES, RESPONSE_TIMEOUT_MILLIS);
      return promise.future();
    }

    @Override
    public Future<DeclaredState> readDeclaredState() {
      storeReads++;
      Promise<DeclaredState> promise = Promise.promise();
      respondWithNewest(promise, RESPONSE_TIMEOUT_MILLIS);
      return promise.future();
    }

    private void respondWithNewest(Promise<DeclaredState> promise, long timeoutMillis) {
      Published newest = published.lastEntry().getValue();
      DeclaredState state =
          new DeclaredState(
              Optional.of(newest.configuration()),
              List.of(),
              new StoreRevision(0, published.lastKey()));
      respond(promise, state, newest.bytes(), timeoutMillis);
    }

    @Override
    public Future<DeclaredState> awaitDeclaredState(StoreRevision revision, long waitMillis) {
      storeReads++;
      Promise<DeclaredState> promise = Promise.promise();
      await(promise, revision, now() + waitMillis);
      return promise.future();
    }

    private void await(Promise<DeclaredState> promise, StoreRevision revision, long untilMillis) {
      long leftMillis = untilMillis - now();
      if (published.lastKey() > revision.revision()) {
        respondWithNewest(promise, leftMillis + RESPONSE_TIMEOUT_MILLIS);
      } else if (leftMillis <= 0) {
        DeclaredState none = new DeclaredState(Optional.empty(), List.of(), revision);
        respond(promise, none, 200, RESPONSE_TIMEOUT_MILLIS);
      } else {
        schedule(Math.min(10, leftMillis), () -> await(promise, revision, untilMillis));
      }
    }

    @Override
    public int rank() {
      return index;
    }

    @Override
    public void sendToZone(PeerMessage news) {
      int bytes = codec.encode(news).length;
      for (Host other : zone) {
        if (other != this) {
          long arrivalMillis = other.down.transfer(up.transfer(now(), bytes), bytes);
          schedule(arrivalMillis - now(), () -> other.receive(index, news));
        }
      }
    }

    private void receive(int sender, PeerMessage news) {
      if (news instanceof ListingNews listing) {
        follower.receive(listing);
      } else {
        follower.receive("host-" + sender, (DeclarationNews) news);
      }
    }

    @Override
    public void onRead(StoreRevision revision, long requestedAtMillis) {}

    @Override
    public void onListing(EndpointListing listing) {}

    @Override
    public void onDeclaredState(DeclaredState declared, String source, long readMillis) {
      declared
          .configuration()
          .ifPresent(
              configuration -> version = Math.max(version, configuration.version().number()));
    }

    @Override
    public void onFailure(String data, String cause) {}
  }
}
