package quotagateway.policy.quota;

import quotagateway.policy.context.DecisionContext;
import quotagateway.policy.settings.Plan;

/**
 * What one gateway knows of one customer: a replica of the token bucket of its plan, fed by the
 * totals of shared counts.
 *
 * <p>The counter has no buckets, only counts. All gateways add a customer's units to one count for
 * each window of time, under a name that ends with the window's number. From the growth of its
 * total a gateway learns what the others have used, and takes it off its replica. Between replies
 * it assumes that they go on as before.
 *
 * <p>Where a window would hold fewer than two refills of the bucket, the bucket is not replicated:
 * each window then allows one burst ({@code fixedWindow}).
 *
 * <p>Owned by the thread of its policy. Units are those of requests' estimates.
 */
final class CustomerAccount {

  /** Longest window of a count: many refills of usual quotas, so that window edges are rare. */
  private static final double MAX_WINDOW_MS = 25_000;

  /**
   * Up to this many gateways, each meets a customer often enough to follow its bucket over the
   * longest window; with more gateways the windows become shorter.
   */
  private static final double MAX_GATEWAYS_FOR_LONGEST_WINDOW = 3;

  /** A window with fewer refills of the bucket than this is a fixed window. */
  private static final double MIN_REFILLS_FOR_BUCKET = 2;

  /** Share of its rate that a customer is taken to use before anything is known of it. */
  private static final double DEFAULT_USE_RATIO = 0.5;

  /**
   * Share of the rate that each gateway is taken to use at least, so that idle ones keep a part.
   */
  private static final double MIN_GATEWAY_USE_RATIO = 0.05;

  /**
   * A fixed window estimated to be overdrawn by this share of its burst is exhausted without a call
   * to show it.
   */
  private static final double MAX_ESTIMATED_OVERDRAFT_RATIO = 0.5;

  /** A customer known to be exhausted is asked for so often, as others may have returned units. */
  private static final double EXHAUSTED_RECHECK_MS = 400;

  /** Lifetime of the measured rates of a bucket: longer than a burst, a few refills. */
  private static final double RATE_LIFETIME_MS = 5_000;

  /** How long a rarely met customer is taken to go on as last seen: heavy use comes in spells. */
  private static final double SPELL_LIFETIME_MS = 15_000;

  /** Lifetime of the measured rates in fixed windows. */
  private static final double FIXED_WINDOW_RATE_LIFETIME_MS = SPELL_LIFETIME_MS / 3;

  /** Shortest time that a rate is measured over. */
  private static final double MIN_RATE_SECONDS = 0.001;

  private final DecisionContext context;
  private final long customer;

  /** Through how many gateways its requests may come. */
  private final int gateways;

  private final HardLimit hardLimit;
  private Plan plan;

  /** Windows begin at different times for different customers, so their edges do not coincide. */
  private final double windowOffsetMs;

  private double windowMs;
  private boolean fixedWindow;

  /** Units in the bucket, or left in the window, as estimated at {@link #advancedAtMs}. */
  private double availableUnits;

  private double advancedAtMs;

  /** Units assumed to have been used by other gateways since the last reply. */
  private double assumedPeerUnits;

  /** Units a second of the other gateways. */
  private double peerUnitsPerSecond;

  /** Units a second of this gateway. */
  private double localUnitsPerSecond;

  /** Units admitted by this gateway since the last reply. */
  private double localUnitsSinceSync;

  /** When the last reply came; NaN before the first. */
  private double syncedAtMs = Double.NaN;

  /** The window that the last reply was for, and its total then. */
  private long syncedWindow = Long.MIN_VALUE;

  private double syncedTotalUnits;

  /** Units to be added to the shared count with the next call; negative to take units off. */
  private double unsettledUnits;

  /** Units that calls without a reply may have added to the shared count. */
  private double unconfirmedUnits;

  /** Estimates of the requests whose calls are under way. */
  private double inFlightUnits;

  /** This gateway's even part of the quota, which fixed windows admit from without a reply. */
  private double localQuotaUnits;

  /** Starts that this gateway's even part of the concurrency limit allows without a reply. */
  private double localConcurrencyStarts;

  private int attemptsInFlight;

  /**
   * A customer that this gateway meets for the first time.
   *
   * @param context time, settings, and one random draw
   * @param customer its number
   * @param plan its plan
   * @param gatewaysOfCustomer through how many gateways its requests may come
   */
  CustomerAccount(DecisionContext context, long customer, Plan plan, int gatewaysOfCustomer) {
    this.context = context;
    this.customer = customer;
    this.gateways = Math.max(1, Math.min(gatewaysOfCustomer, context.settings().gatewayCount()));
    this.advancedAtMs = context.nowMs();
    this.hardLimit = new HardLimit(context, plan, gateways);
    follow(plan);
    windowOffsetMs = Math.floorMod(customer * 0x9E3779B97F4A7C15L, (long) MAX_WINDOW_MS);
    availableUnits = bucketSizeUnits();
    // A gateway that has just started may follow one that has used the hard limit up.
    hardLimit.refill((context.nowMs() - context.startedAtMs()) / 1000);
    localQuotaUnits = context.nextRandom() * context.settings().maxRequestUnits();
    // Most customers use little of their concurrency limit, so a first request is admitted.
    localConcurrencyStarts = 1;
    peerUnitsPerSecond =
        plan.unitsPerSecond() * (fixedWindow ? DEFAULT_USE_RATIO : 1 - 1.0 / gateways);
  }

  Plan plan() {
    return plan;
  }

  int gateways() {
    return gateways;
  }

  HardLimit hardLimit() {
    return hardLimit;
  }

  boolean usesFixedWindow() {
    return fixedWindow;
  }

  double availableUnits() {
    return availableUnits;
  }

  double inFlightUnits() {
    return inFlightUnits;
  }

  double localQuotaUnits() {
    return localQuotaUnits;
  }

  /** Takes a start in this gateway's even part of the concurrency limit, if there is one. */
  boolean tryTakeConcurrencyStart() {
    if (localConcurrencyStarts < 1) {
      return false;
    }
    localConcurrencyStarts -= 1;
    return true;
  }

  double unsettledUnits() {
    return unsettledUnits;
  }

  /** When the account was last used. */
  double advancedAtMs() {
    return advancedAtMs;
  }

  /** Attempts of this customer that backends work on, from this gateway. */
  int attemptsInFlight() {
    return attemptsInFlight;
  }

  void attemptStarted() {
    attemptsInFlight++;
  }

  void attemptEnded() {
    attemptsInFlight--;
  }

  /** The number of the present window. */
  long currentWindow() {
    return (long) Math.floor((context.nowMs() + windowOffsetMs) / windowMs);
  }

  /** The name of the shared count of its units in a window. */
  String unitsCounterName(long window) {
    return Long.toString(customer, 36) + ":" + window;
  }

  /** The name of the shared count of its open requests that began in a window. */
  String permitsCounterName(long window) {
    return Long.toString(customer, 36) + ":o" + window;
  }

  /**
   * Takes another form of the plan; the units available are kept, as far as its bucket has room.
   */
  void changePlan(Plan changed, double meanServiceMs) {
    advance(meanServiceMs);
    follow(changed);
    availableUnits = Math.min(availableUnits, changed.burstUnits());
  }

  /** Binds the account to a plan, which determines its windows. */
  private void follow(Plan followed) {
    plan = followed;
    hardLimit.follow(followed);
    double refillMs = 0;
    if (plan.unitsPerSecond() > 0) {
      refillMs = 1000 * plan.burstUnits() / plan.unitsPerSecond();
    }
    double longestMs = MAX_WINDOW_MS;
    if (!hardLimit.isSet()) {
      longestMs = MAX_WINDOW_MS * MAX_GATEWAYS_FOR_LONGEST_WINDOW / gateways;
    }
    windowMs = Math.max(refillMs, Math.min(MAX_WINDOW_MS, longestMs));
    fixedWindow = windowMs < MIN_REFILLS_FOR_BUCKET * refillMs && hasSharedCounter();
  }

  /**
   * Refills to the present. The other gateways are assumed to go on as they did, but not beyond
   * their share of the refill, so that this gateway keeps its own.
   *
   * @param meanServiceMs mean service time of all backends
   */
  void advance(double meanServiceMs) {
    double seconds = (context.nowMs() - advancedAtMs) / 1000;
    advancedAtMs = context.nowMs();
    if (seconds <= 0) {
      return;
    }
    refillLocalParts(seconds, meanServiceMs);
    if (fixedWindow) {
      advanceFixedWindow(seconds);
    } else {
      advanceBucket(seconds);
      hardLimit.refill(seconds);
    }
  }

  private void refillLocalParts(double seconds, double meanServiceMs) {
    double maxUnits = Math.max(plan.burstUnits() / gateways, context.settings().maxRequestUnits());
    localQuotaUnits =
        Math.min(maxUnits, localQuotaUnits + plan.unitsPerSecond() / gateways * seconds);
    // So many requests can follow each other in this gateway's part of the permits.
    double startsPerSecond = plan.concurrencyLimit() / (meanServiceMs / 1000) / gateways;
    localConcurrencyStarts = Math.min(1, localConcurrencyStarts + startsPerSecond * seconds);
  }

  private void advanceBucket(double seconds) {
    double unitsPerSecond = plan.unitsPerSecond();
    double minUse = unitsPerSecond * MIN_GATEWAY_USE_RATIO;
    double localShare =
        (localUnitsPerSecond + minUse)
            / (localUnitsPerSecond + peerUnitsPerSecond + minUse * gateways);
    double peerUse = peerUnitsPerSecond;
    if (hasSharedCounter()) {
      peerUse = Math.min(peerUnitsPerSecond, unitsPerSecond * (1 - localShare));
    }
    double sizeUnits = bucketSizeUnits();
    double withoutPeers = Math.min(sizeUnits, availableUnits + unitsPerSecond * seconds);
    availableUnits = Math.min(sizeUnits, availableUnits + (unitsPerSecond - peerUse) * seconds);
    assumedPeerUnits += withoutPeers - availableUnits;
  }

  /** A new window begins with a whole burst; what peers are expected to use is taken off. */
  private void advanceFixedWindow(double seconds) {
    double windowStartMs = currentWindow() * windowMs - windowOffsetMs;
    double elapsedMs = context.nowMs() - windowStartMs;
    double spanMs = Math.min(elapsedMs, seconds * 1000);
    if (spanMs == elapsedMs) {
      availableUnits = plan.burstUnits();
    }
    double defaultUse = DEFAULT_USE_RATIO * plan.unitsPerSecond();
    double confidence = 0;
    if (!Double.isNaN(syncedAtMs)) {
      confidence = Math.exp((syncedAtMs - context.nowMs()) / SPELL_LIFETIME_MS);
    }
    double expectedUse = defaultUse + confidence * (peerUnitsPerSecond - defaultUse);
    availableUnits -= expectedUse * spanMs / 1000;
  }

  /**
   * Whether the quota surely has no room for so many units, so that a call would only add to the
   * load of the counter.
   */
  boolean isKnownExhausted(double units) {
    if (fixedWindow) {
      boolean confirmed = syncedWindow == currentWindow() && syncedTotalUnits >= plan.burstUnits();
      double leastUnits = confirmed ? units : -MAX_ESTIMATED_OVERDRAFT_RATIO * plan.burstUnits();
      return availableUnits < leastUnits;
    }
    // The most that the bucket holds if the others have used nothing since the last reply.
    double maxUnits =
        Math.min(plan.burstUnits(), availableUnits + assumedPeerUnits) - inFlightUnits;
    return maxUnits < units && context.nowMs() - syncedAtMs < EXHAUSTED_RECHECK_MS;
  }

  /** How many units a call for a request should add: none where the bucket has no room for it. */
  double unitsToAsk(double units) {
    return fixedWindow || availableUnits >= units ? units : 0;
  }

  /** Takes all unsettled units, for a call that asks for so many units beside them. */
  double beginCall(double askedUnits) {
    double settledUnits = unsettledUnits;
    inFlightUnits += askedUnits;
    unsettledUnits = 0;
    return askedUnits + settledUnits;
  }

  /** Ends the wait for a call that asked for so many units. */
  void endCall(double askedUnits) {
    inFlightUnits -= askedUnits;
  }

  /** Notes units that a call without a reply may have added to the shared count. */
  void recordUnconfirmed(double units) {
    unconfirmedUnits += units;
  }

  /** Has the next call add so many units to the shared count; negative ones are taken off it. */
  void addUnsettled(double units) {
    unsettledUnits += units;
  }

  /** Charges the units of an admitted request. */
  void charge(double units) {
    availableUnits -= units;
    localQuotaUnits = Math.max(0, localQuotaUnits - units);
    localUnitsSinceSync += units;
  }

  /** Corrects a charge by so many units, negative ones being returned, here and at the counter. */
  void correctCharge(double units) {
    availableUnits -= units;
    unsettledUnits += units;
  }

  /**
   * Replays the growth of a shared total into the replica. Growth beyond what this gateway added is
   * the others'. A total that has halved shows a counter that was emptied, not fresh quota: the
   * replica keeps its units.
   *
   * @param window the window of the count
   * @param addedUnits what the call added, settlements included
   * @param askedUnits of them, the estimate of the request that waits
   * @param totalUnits the total after that
   */
  void recordTotal(long window, double addedUnits, double askedUnits, double totalUnits) {
    boolean firstOfWindow = syncedWindow != window;
    boolean synced = !Double.isNaN(syncedAtMs);
    double sinceMs = context.nowMs() - syncedAtMs;
    if (firstOfWindow || !synced) {
      double windowStartMs = window * windowMs - windowOffsetMs;
      sinceMs = context.nowMs() - windowStartMs;
    }
    double peerUnits = growthByPeers(firstOfWindow, addedUnits, totalUnits);
    double confirmedUnits = Math.min(unconfirmedUnits, Math.max(0, peerUnits));
    double missingUnits = unconfirmedUnits - confirmedUnits;
    peerUnits -= confirmedUnits;
    unconfirmedUnits = 0;
    syncedWindow = window;
    syncedTotalUnits = totalUnits;
    if (fixedWindow) {
      if (window == currentWindow()) {
        availableUnits = plan.burstUnits() - (totalUnits - askedUnits);
      }
      updateRates(Math.max(0, peerUnits), sinceMs);
    } else {
      unsettledUnits += missingUnits;
      replay(peerUnits, sinceMs, synced);
      updateRates(peerUnits, sinceMs);
    }
  }

  private double growthByPeers(boolean firstOfWindow, double addedUnits, double totalUnits) {
    double growthUnits = firstOfWindow ? totalUnits : totalUnits - syncedTotalUnits;
    double peerUnits = growthUnits - addedUnits;
    boolean emptied = !firstOfWindow && peerUnits < 0 && totalUnits < syncedTotalUnits / 2;
    return emptied ? Math.max(0, totalUnits - addedUnits) : peerUnits;
  }

  /** Puts what the others are seen to have used in the place of what they were assumed to use. */
  private void replay(double peerUnits, double sinceMs, boolean synced) {
    double returnedUnits;
    if (synced) {
      double replacedShare = Math.min(1, sinceMs / Math.max(1, context.nowMs() - syncedAtMs));
      returnedUnits = assumedPeerUnits * replacedShare;
    } else {
      returnedUnits = plan.unitsPerSecond() * sinceMs / 1000;
    }
    availableUnits = Math.min(plan.burstUnits(), availableUnits + returnedUnits - peerUnits);
    hardLimit.recordPeerUse(peerUnits);
    assumedPeerUnits = 0;
  }

  private void updateRates(double peerUnits, double sinceMs) {
    double ageMs = sinceMs;
    double lifetimeMs = RATE_LIFETIME_MS;
    if (fixedWindow) {
      ageMs = Double.isNaN(syncedAtMs) ? sinceMs : context.nowMs() - syncedAtMs;
      lifetimeMs = FIXED_WINDOW_RATE_LIFETIME_MS;
    }
    double keep = Math.exp(-ageMs / lifetimeMs);
    double seconds = Math.max(MIN_RATE_SECONDS, sinceMs / 1000);
    peerUnitsPerSecond = Math.max(0, keep * peerUnitsPerSecond + (1 - keep) * peerUnits / seconds);
    localUnitsPerSecond = keep * localUnitsPerSecond + (1 - keep) * localUnitsSinceSync / seconds;
    localUnitsSinceSync = 0;
    syncedAtMs = context.nowMs();
  }

  /** Without a shared counter each gateway has an even part of the bucket. */
  private double bucketSizeUnits() {
    return hasSharedCounter() ? plan.burstUnits() : plan.burstUnits() / gateways;
  }

  private boolean hasSharedCounter() {
    return context.settings().capabilities().sharedCounter();
  }
}
