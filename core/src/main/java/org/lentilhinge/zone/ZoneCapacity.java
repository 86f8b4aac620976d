package org.lentilhinge.zone;

/** The capacity and the shortage of one zone for one service, smoothed over the latest statuses. */
final class ZoneCapacity {

  /**
   * The time constant of the smoothing, in milliseconds. A change is followed to 95% in three of
   * them, which together with the age of the statuses is about a second.
   */
  private static final double SMOOTHING_MILLIS = 250;

  /**
   * The excess of waiting work over free capacity above which a zone becomes short, as a part of
   * its engines' time.
   */
  private static final double SHORT_ABOVE = 0.05;

  /**
   * The excess of free capacity over waiting work above which a zone is no longer short, as a part
   * of its engines' time.
   */
  private static final double ENOUGH_ABOVE = 0.05;

  /** The free part of its engines' time below which a zone offers nothing to others. */
  private static final double OFFERED_ABOVE = 0.1;

  /**
   * The part of the spare capacity that other zones may use. The rest is left for the growth of the
   * zone's own demand until it shows in the statuses.
   */
  private static final double OFFERED_PART = 0.8;

  /**
   * The part of the work that leaves which needs no further wait to go on leaving. Without it, the
   * requests of a zone with a demand of 1.5 times its capacity would wait for 250 ms, near to the
   * third of a target of a second after which engines refuse them.
   */
  private static final double CARRIED_PART = 0.5;

  /** The time constant with which the carried part follows, in milliseconds. */
  private static final double CARRY_MILLIS = 1_000;

  /**
   * The time after a shortage for which a zone offers nothing, in milliseconds. Otherwise a zone at
   * its limit would send and receive in turn.
   */
  private static final long RECOVERY_MILLIS = 1_000;

  private boolean known;
  private int engines;
  private double spare;
  private double overload;
  private boolean shortage;
  private double carried;
  private long millisSinceShortage = RECOVERY_MILLIS;

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
      carried = 0;
      return;
    }
    double weight = formerlyKnown ? 1 - Math.exp(-elapsedMillis / SMOOTHING_MILLIS) : 1;
    spare += weight * (spareSum - spare);
    overload += weight * (overloadSum - overload);
    double excess = overload - spare;
    shortage = shortage ? excess >= -ENOUGH_ABOVE * engines : excess > SHORT_ABOVE * engines;
    millisSinceShortage =
        shortage ? 0 : Math.min(RECOVERY_MILLIS, millisSinceShortage + elapsedMillis);
    double carryWeight = 1 - Math.exp(-elapsedMillis / CARRY_MILLIS);
    carried = shortage ? carried + carryWeight * (CARRIED_PART * need() - carried) : 0;
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
    return known && shortage ? Math.max(0, overload - spare + carried) : 0;
  }

  /** Returns the capacity that other zones may use, in engines. */
  double offered() {
    boolean offers =
        known
            && millisSinceShortage >= RECOVERY_MILLIS
            && spare - overload > OFFERED_ABOVE * engines;
    return offers ? OFFERED_PART * (spare - overload) : 0;
  }

  /** Returns the work per time that arrives, in engines. */
  double demand() {
    return Math.max(0, engines - spare) + need();
  }
}
