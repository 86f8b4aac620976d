package org.lentilhinge.zone;

/** The capacity and the shortage of one zone for one service, smoothed over the latest statuses. */
final class ZoneCapacity {

  /**
   * The time constant of the smoothing, in milliseconds. A change is followed to 95% in three of
   * them, which together with the age of the statuses is about a second.
   */
  private static final double SMOOTHING_MILLIS = 250;

  /** The free part of the engines below which a zone may become short. */
  private static final double SHORT_BELOW = 0.1;

  /** The free part of the engines above which a zone is no longer short. */
  private static final double ENOUGH_ABOVE = 0.2;

  /** The part of the engines' time below which an overload is not acted upon. */
  private static final double NEGLIGIBLE_OVERLOAD = 0.02;

  /**
   * The part of the spare capacity that other zones may use. The rest is left for the growth of the
   * zone's own demand until it shows in the statuses.
   */
  private static final double OFFERED_PART = 0.8;

  private boolean known;
  private int engines;
  private double spare;
  private double overload;
  private boolean shortage;

  private int allEngines;
  private int knownEngines;
  private int servingEngines;
  private double spareSum;
  private double overloadSum;

  /** Begins an evaluation of all engines of the zone. */
  void begin() {
    allEngines = 0;
    knownEngines = 0;
    servingEngines = 0;
    spareSum = 0;
    overloadSum = 0;
  }

  void add(EngineRoom engine) {
    allEngines++;
    knownEngines += engine.known() ? 1 : 0;
    servingEngines += engine.serving() ? 1 : 0;
    spareSum += engine.spare();
    overloadSum += engine.overload();
  }

  /** Ends an evaluation. */
  void end(long elapsedMillis) {
    boolean formerlyKnown = known;
    // A zone most of whose engines have no current status may be cut off.
    known = servingEngines > 0 && 2 * knownEngines > allEngines;
    engines = servingEngines;
    if (!known) {
      shortage = false;
      return;
    }
    double weight = formerlyKnown ? 1 - Math.exp(-elapsedMillis / SMOOTHING_MILLIS) : 1;
    spare += weight * (spareSum - spare);
    overload += weight * (overloadSum - overload);
    if (shortage) {
      shortage = spare <= ENOUGH_ABOVE * engines && overload > NEGLIGIBLE_OVERLOAD * engines;
    } else {
      shortage =
          spare < SHORT_BELOW * engines && overload - spare > 2 * NEGLIGIBLE_OVERLOAD * engines;
    }
  }

  boolean isKnown() {
    return known;
  }

  /** Returns the free capacity, in engines. */
  double spare() {
    return known ? spare : 0;
  }

  /** Returns the work per time that should be done elsewhere, in engines. */
  double need() {
    return known && shortage ? Math.max(0, overload - spare) : 0;
  }

  /** Returns the capacity that other zones may use, in engines. */
  double offered() {
    boolean offers = known && !shortage && spare >= SHORT_BELOW * engines && overload < spare;
    return offers ? OFFERED_PART * spare : 0;
  }

  /** Returns the work per time that arrives, in engines. */
  double demand() {
    return Math.max(0, engines - spare) + need();
  }
}
