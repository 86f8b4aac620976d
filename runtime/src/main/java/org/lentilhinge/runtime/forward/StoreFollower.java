package org.lentilhinge.runtime.forward;

import java.util.Optional;
import java.util.Random;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;
import org.lentilhinge.identity.StoreRevision;
import org.lentilhinge.published.DeclarationNews;
import org.lentilhinge.published.DeclaredState;
import org.lentilhinge.published.EndpointListing;
import org.lentilhinge.published.KnownDeclarations;
import org.lentilhinge.published.KnownListing;
import org.lentilhinge.published.ListingNews;
import org.lentilhinge.published.ReadSchedule;

/**
 * Follows the published store. The reader of a zone lists all endpoints at a fixed interval and
 * awaits changes of the operators' declarations by long polling; it sends what has changed to the
 * other hosts of its zone. While they receive nothing, the next hosts by rank read in its place.
 */
final class StoreFollower {

  /**
   * The interval between listings of the endpoints, in milliseconds. Allows two listings within the
   * three seconds after which a leaving endpoint must not receive new requests.
   */
  private static final long LISTING_INTERVAL_MILLIS = 1_000;

  /**
   * The long-polling timeout for changes of the declarations, in milliseconds. Bounds the interval
   * of news to the other hosts, and the delay that an unresponsive connection can cause.
   */
  private static final long LONG_POLL_TIMEOUT_MILLIS = 1_000;

  private final Executor loop;
  private final LongSupplier clock;
  private final PublishedStore store;
  private final StoreListener listener;
  private final ZoneGroup zone;
  private final ReadSchedule listingSchedule;
  private final ReadSchedule declarationSchedule;
  private final KnownListing knownListing = new KnownListing();
  private final KnownDeclarations knownDeclarations = new KnownDeclarations();
  private boolean stopped;

  /**
   * Creates a follower that is driven by ticks.
   *
   * @param loop runs tasks on the host's event loop, after the current one
   * @param clock the monotonic clock, in milliseconds
   * @param store the published store
   * @param listener receives what was read or sent by another host
   * @param zone the hosts of this host's zone
   * @param random spreads the reads of many hosts
   */
  StoreFollower(
      Executor loop,
      LongSupplier clock,
      PublishedStore store,
      StoreListener listener,
      ZoneGroup zone,
      Random random) {
    this.loop = loop;
    this.clock = clock;
    this.store = store;
    this.listener = listener;
    this.zone = zone;
    listingSchedule = new ReadSchedule(LISTING_INTERVAL_MILLIS, random);
    declarationSchedule = new ReadSchedule(0, random);
  }

  /** Starts the reads that are due. Must be called several times per second. */
  void tick() {
    startDueReads();
  }

  void stop() {
    stopped = true;
  }

  /** Requests a read of this host's own, whose revision is not older than its response. */
  void requestRead() {
    listingSchedule.request();
  }

  private void startDueReads() {
    if (stopped) {
      return;
    }
    long now = clock.getAsLong();
    if (listingSchedule.isDue(zone.rank(), now)) {
      listEndpoints();
    }
    if (declarationSchedule.isDue(zone.rank(), now)) {
      followDeclaredState();
    }
  }

  private void listEndpoints() {
    boolean forZone = isReadForZone(listingSchedule);
    listingSchedule.recordStart();
    long startedAtMillis = clock.getAsLong();
    store
        .listEndpoints()
        .onSuccess(listing -> onListing(listing, forZone, startedAtMillis))
        .onFailure(
            failure -> {
              listingSchedule.recordFailure(clock.getAsLong());
              listener.onFailure("endpoints", String.valueOf(failure.getMessage()));
            });
  }

  /** Returns whether a read that starts now is in place of the hosts with a lower rank. */
  private boolean isReadForZone(ReadSchedule schedule) {
    return zone.rank() == 0 || schedule.isSilent(zone.rank(), clock.getAsLong());
  }

  private void onListing(EndpointListing listing, boolean forZone, long startedAtMillis) {
    listingSchedule.recordSuccess(clock.getAsLong());
    listener.onRead(listing.revision(), startedAtMillis);
    Optional<ListingNews> news = knownListing.replace(listing);
    if (news.isPresent()) {
      listener.onListing(listing);
      if (forZone) {
        zone.sendToZone(news.get());
      }
    }
  }

  private void followDeclaredState() {
    boolean forZone = isReadForZone(declarationSchedule);
    declarationSchedule.recordStart();
    Optional<StoreRevision> awaited = knownDeclarations.awaitedRevision();
    long startedAtMillis = clock.getAsLong();
    awaited
        .map(revision -> store.awaitDeclaredState(revision, LONG_POLL_TIMEOUT_MILLIS))
        .orElseGet(store::readDeclaredState)
        .onSuccess(
            declared -> {
              DeclarationNews news =
                  onDeclaredState(awaited.orElse(StoreRevision.NONE), declared, startedAtMillis);
              if (forZone) {
                zone.sendToZone(news);
              }
            })
        .onFailure(this::onDeclarationFailure);
  }

  private DeclarationNews onDeclaredState(
      StoreRevision sinceRevision, DeclaredState declared, long startedAtMillis) {
    long now = clock.getAsLong();
    declarationSchedule.recordSuccess(now);
    DeclarationNews news = knownDeclarations.update(sinceRevision, declared);
    listener.onRead(declared.revision(), startedAtMillis);
    listener.onDeclaredState(declared, "store", now - startedAtMillis);
    loop.execute(this::startDueReads);
    return news;
  }

  private void onDeclarationFailure(Throwable failure) {
    declarationSchedule.recordFailure(clock.getAsLong());
    // After any failure all declarations are read again: the lost response may contain a change.
    knownDeclarations.invalidate();
    listener.onFailure("declarations", String.valueOf(failure.getMessage()));
  }

  /** Handles the changes between two listings of the zone's reader. */
  void receive(ListingNews news) {
    Optional<EndpointListing> listing = knownListing.apply(news);
    if (listing.isPresent()) {
      listingSchedule.recordNews(clock.getAsLong());
      listener.onListing(listing.get());
    } else {
      listingSchedule.requestAfterGap(clock.getAsLong());
    }
  }

  /** Handles the changes of the declared state that the zone's reader has read. */
  void receive(String host, DeclarationNews news) {
    listener.onDeclaredState(knownDeclarations.apply(news), host, 0);
    if (knownDeclarations.isUpToDate(news)) {
      declarationSchedule.recordNews(clock.getAsLong());
    } else {
      declarationSchedule.requestAfterGap(clock.getAsLong());
    }
  }
}
