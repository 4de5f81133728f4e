package quotagateway.policy.quota;

import quotagateway.policy.context.DecisionContext;
import quotagateway.policy.settings.Plan;

/**
 * What one gateway knows of one customer: a replica of the token bucket of its plan, fed by the
 * totals of shared counts.
 *
 * <p>The counter has no buckets, only counts. All gateways add a customer's units to one count for
 * each window of time. From the growth of its total a gateway learns what its peers have used, and
 * takes it off its replica. Between replies it assumes that they go on as before.
 *
 * <p>Where a window would hold fewer than two refills of the bucket, the bucket is not replicated:
 * each window then allows one burst.
 *
 * <p>Longer than other classes: time, replies and use all change the same few figures, which no
 * part could keep without the others.
 *
 * <p>Owned by the thread of its policy. Units are those of requests' estimates.
 */
final class CustomerAccount {

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

  /** How long a rarely met customer is taken to go on as last seen: heavy use lasts for a while. */
  private static final double HEAVY_USE_LIFETIME_MS = 15_000;

  /** Lifetime of the measured rates in fixed windows. */
  private static final double FIXED_WINDOW_RATE_LIFETIME_MS = HEAVY_USE_LIFETIME_MS / 3;

  private final DecisionContext context;

  /** Through how many gateways its requests may come. */
  private final int gateways;

  private final CounterWindows windows;
  private final CounterSettlement settlement = new CounterSettlement();
  private final HardLimit hardLimit;
  private final LocalShare localShare;
  private final UseRates rates;
  private Plan plan;

  /** Units in the bucket, or left in the window, as estimated at {@link #advancedAtMs}. */
  private double availableUnits;

  private double advancedAtMs;

  /** Units assumed to have been used by other gateways since the last reply. */
  private double assumedPeerUnits;

  /** When the last reply came; NaN before the first. */
  private double syncedAtMs = Double.NaN;

  /** The window that the last reply was for, and its total then. */
  private long syncedWindow = Long.MIN_VALUE;

  private double syncedTotalUnits;
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
    gateways = Math.max(1, Math.min(gatewaysOfCustomer, context.settings().gatewayCount()));
    advancedAtMs = context.nowMs();
    windows = new CounterWindows(customer);
    hardLimit = new HardLimit(context, plan, gateways);
    follow(plan);
    availableUnits = bucketSizeUnits();
    // A gateway that has just started may follow one that has used the hard limit up.
    hardLimit.refill((context.nowMs() - context.startedAtMs()) / 1000);
    localShare = new LocalShare(context, gateways);
    double peerUseRatio = usesFixedWindow() ? DEFAULT_USE_RATIO : 1 - 1.0 / gateways;
    rates = new UseRates(plan.unitsPerSecond() * peerUseRatio);
  }

  Plan plan() {
    return plan;
  }

  int gateways() {
    return gateways;
  }

  CounterWindows windows() {
    return windows;
  }

  CounterSettlement settlement() {
    return settlement;
  }

  HardLimit hardLimit() {
    return hardLimit;
  }

  LocalShare localShare() {
    return localShare;
  }

  boolean usesFixedWindow() {
    return windows.areFixed();
  }

  double availableUnits() {
    return availableUnits;
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

  /** Charges the units of an admitted request. */
  void charge(double units) {
    availableUnits -= units;
    localShare.charge(units);
    rates.recordLocalUse(units);
  }

  /** Corrects a charge by so many units, negative ones being returned, here and at the counter. */
  void correctCharge(double units) {
    availableUnits -= units;
    settlement.addUnsettled(units);
  }

  /** How many units a call for a request should add: none where the bucket has no room for it. */
  double unitsToAsk(double units) {
    return usesFixedWindow() || availableUnits >= units ? units : 0;
  }

  /**
   * Whether the quota surely has no room for so many units, so that a call would only add to the
   * load of the counter.
   */
  boolean isKnownExhausted(double units) {
    if (usesFixedWindow()) {
      boolean confirmed =
          syncedWindow == windows.windowAt(context.nowMs())
              && syncedTotalUnits >= plan.burstUnits();
      double leastUnits = confirmed ? units : -MAX_ESTIMATED_OVERDRAFT_RATIO * plan.burstUnits();
      return availableUnits < leastUnits;
    }
    // The most that the bucket holds if the others have used nothing since the last reply.
    double maxUnits =
        Math.min(plan.burstUnits(), availableUnits + assumedPeerUnits) - settlement.inFlightUnits();
    return maxUnits < units && context.nowMs() - syncedAtMs < EXHAUSTED_RECHECK_MS;
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
    windows.follow(followed, gateways, hasSharedCounter());
  }

  // ---- Time goes by ----

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
    localShare.refill(plan, seconds, meanServiceMs);
    if (usesFixedWindow()) {
      advanceFixedWindow(seconds);
    } else {
      advanceBucket(seconds);
      hardLimit.refill(seconds);
    }
  }

  private void advanceBucket(double seconds) {
    double unitsPerSecond = plan.unitsPerSecond();
    double peerUse = rates.peerUnitsPerSecond();
    if (hasSharedCounter()) {
      double minUse = unitsPerSecond * MIN_GATEWAY_USE_RATIO;
      double localUse = rates.localUnitsPerSecond();
      double localUseShare = (localUse + minUse) / (localUse + peerUse + minUse * gateways);
      peerUse = Math.min(peerUse, unitsPerSecond * (1 - localUseShare));
    }
    double sizeUnits = bucketSizeUnits();
    double withoutPeers = Math.min(sizeUnits, availableUnits + unitsPerSecond * seconds);
    availableUnits = Math.min(sizeUnits, availableUnits + (unitsPerSecond - peerUse) * seconds);
    assumedPeerUnits += withoutPeers - availableUnits;
  }

  /** A new window begins with a whole burst; what peers are expected to use is taken off. */
  private void advanceFixedWindow(double seconds) {
    double nowMs = context.nowMs();
    double elapsedMs = nowMs - windows.startMs(windows.windowAt(nowMs));
    double spanMs = Math.min(elapsedMs, seconds * 1000);
    if (spanMs == elapsedMs) {
      availableUnits = plan.burstUnits();
    }
    double defaultUse = DEFAULT_USE_RATIO * plan.unitsPerSecond();
    double confidence = 0;
    if (!Double.isNaN(syncedAtMs)) {
      confidence = Math.exp((syncedAtMs - nowMs) / HEAVY_USE_LIFETIME_MS);
    }
    double expectedUse = defaultUse + confidence * (rates.peerUnitsPerSecond() - defaultUse);
    availableUnits -= expectedUse * spanMs / 1000;
  }

  // ---- Replies of the counter ----

  /**
   * Replays the growth of a shared total into the replica. Growth beyond what this gateway added is
   * its peers'.
   *
   * @param window the window of the count
   * @param addedUnits what the call added, settlements included
   * @param askedUnits of them, the estimate of the request that waits
   * @param totalUnits the total after that
   */
  void recordTotal(long window, double addedUnits, double askedUnits, double totalUnits) {
    double nowMs = context.nowMs();
    boolean firstOfWindow = syncedWindow != window;
    boolean synced = !Double.isNaN(syncedAtMs);
    double sinceMs = nowMs - syncedAtMs;
    if (firstOfWindow || !synced) {
      sinceMs = nowMs - windows.startMs(window);
    }
    double peerUnits = growthByPeers(firstOfWindow, addedUnits, totalUnits);
    peerUnits -= settlement.confirm(peerUnits, !usesFixedWindow());
    syncedWindow = window;
    syncedTotalUnits = totalUnits;
    if (usesFixedWindow()) {
      if (window == windows.windowAt(nowMs)) {
        availableUnits = plan.burstUnits() - (totalUnits - askedUnits);
      }
      double ageMs = synced ? nowMs - syncedAtMs : sinceMs;
      rates.update(Math.max(0, peerUnits), sinceMs, ageMs, FIXED_WINDOW_RATE_LIFETIME_MS);
    } else {
      replay(peerUnits, sinceMs, synced);
      rates.update(peerUnits, sinceMs, sinceMs, RATE_LIFETIME_MS);
    }
    syncedAtMs = nowMs;
  }

  /**
   * Growth of a total beyond what this gateway added with the call.
   *
   * <p>A total that has more than halved shows a counter that was emptied, not fresh quota: only
   * what it holds beyond the call counts. Prevents a counter that restarts from giving every
   * customer a second burst. Cost: what peers had added since the reply before is not seen.
   */
  private double growthByPeers(boolean firstOfWindow, double addedUnits, double totalUnits) {
    double growthUnits = firstOfWindow ? totalUnits : totalUnits - syncedTotalUnits;
    double peerUnits = growthUnits - addedUnits;
    boolean emptied = !firstOfWindow && peerUnits < 0 && totalUnits < syncedTotalUnits / 2;
    return emptied ? Math.max(0, totalUnits - addedUnits) : peerUnits;
  }

  /** Puts what the peers are seen to have used in the place of what they were assumed to use. */
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

  /** Without a shared counter each gateway has an even part of the bucket. */
  private double bucketSizeUnits() {
    return hasSharedCounter() ? plan.burstUnits() : plan.burstUnits() / gateways;
  }

  private boolean hasSharedCounter() {
    return context.settings().capabilities().sharedCounter();
  }
}
