package quotagateway.policy.quota;

import quotagateway.policy.context.DecisionContext;
import quotagateway.policy.settings.Plan;

/**
 * One gateway's state for one customer: a replica of the token bucket of the customer's plan,
 * synchronized by the totals of shared counts.
 *
 * <p>The counter stores only counts, not buckets. All gateways add a customer's units to one count
 * per time window. From the growth of its total a gateway derives what its peers have used and
 * subtracts that from its replica. Between replies, the gateway assumes that its peers continue to
 * use units at the same rate.
 *
 * <p>If a window would span fewer than two refills of the bucket, the bucket is not replicated, and
 * each window allows one burst.
 *
 * <p>This class is larger than others on purpose: elapsed time, replies and use all change the same
 * few figures, so it cannot be split without sharing them.
 *
 * <p>Owned by the thread of its policy. Units are the estimated units of requests.
 */
final class CustomerAccount {

  /** Fraction of its rate that a customer is assumed to use before any use has been measured. */
  private static final double DEFAULT_USE_RATIO = 0.5;

  /**
   * Minimum fraction of the rate that each gateway is assumed to use, so that idle gateways keep a
   * share of the refill.
   */
  private static final double MIN_GATEWAY_USE_RATIO = 0.05;

  /**
   * Fraction of the burst by which a fixed window must be overdrawn, as estimated, to be treated as
   * exhausted without a call that confirms it.
   */
  private static final double MAX_ESTIMATED_OVERDRAFT_RATIO = 0.5;

  /**
   * Interval at which the counter is called again for an exhausted customer, because other gateways
   * may have returned units.
   */
  private static final double EXHAUSTED_RECHECK_MS = 400;

  /** Lifetime of the measured rates of a bucket: longer than a burst, and a few refills long. */
  private static final double RATE_LIFETIME_MS = 5_000;

  /**
   * Lifetime of the measured peer use of a rarely seen customer. It is long because heavy use
   * usually continues for some time.
   */
  private static final double HEAVY_USE_LIFETIME_MS = 15_000;

  private static final double FIXED_WINDOW_RATE_LIFETIME_MS = HEAVY_USE_LIFETIME_MS / 3;

  private final DecisionContext context;
  private final long customer;

  /** Number of gateways through which the customer's requests may arrive. */
  private final int gateways;

  private final CounterWindows windows;
  private final CounterSettlement settlement = new CounterSettlement();
  private final HardLimit hardLimit;
  private final LocalShare localShare;
  private final UseRates rates;
  private Plan plan;

  /** Estimated units in the bucket, or remaining in the fixed window, at {@link #advancedAtMs}. */
  private double availableUnits;

  private double advancedAtMs;

  /** Units that other gateways are assumed to have used since the last reply. */
  private double assumedPeerUnits;

  /** Time of the last reply; NaN before the first reply. */
  private double lastReplyAtMs = Double.NaN;

  /** Window that the last reply was for. */
  private long lastReplyWindow = Long.MIN_VALUE;

  private double lastReplyTotalUnits;
  private int attemptsInFlight;
  private int openRequests;

  /**
   * Creates an account for a customer that this gateway has not seen before.
   *
   * @param context provides the time, the settings and one random draw
   * @param customer the customer's number
   * @param plan the customer's plan
   * @param gatewaysOfCustomer number of gateways through which the customer's requests may arrive
   */
  CustomerAccount(DecisionContext context, long customer, Plan plan, int gatewaysOfCustomer) {
    this.context = context;
    this.customer = customer;
    gateways = Math.max(1, Math.min(gatewaysOfCustomer, context.settings().gatewayCount()));
    advancedAtMs = context.nowMs();
    windows = new CounterWindows(customer);
    hardLimit = new HardLimit(context, plan, gateways);
    applyPlan(plan);
    availableUnits = bucketSizeUnits();
    // This gateway may replace one that has just used up the hard limit, or another process may
    // have. The hard limit therefore starts with no more than the refill since then.
    hardLimit.refill((context.nowMs() - context.processesChangedAtMs()) / 1000);
    localShare = new LocalShare(context, gateways);
    double peerUseRatio = usesFixedWindow() ? DEFAULT_USE_RATIO : 1 - 1.0 / gateways;
    rates = new UseRates(plan.unitsPerSecond() * peerUseRatio);
  }

  long customer() {
    return customer;
  }

  Plan plan() {
    return plan;
  }

  /**
   * Returns whether this account must be kept: requests or attempts refer to it, or a new account
   * would have more of a hard limit than is left.
   */
  boolean isInUse() {
    double unusedSeconds = (context.nowMs() - advancedAtMs) / 1000;
    return openRequests > 0 || attemptsInFlight > 0 || !hardLimit.isRefilledAfter(unusedSeconds);
  }

  /** Records that a request refers to this account until {@link #recordRequestEnd}. */
  void recordRequestStart() {
    openRequests++;
  }

  /** Records the end of a request. */
  void recordRequestEnd() {
    openRequests--;
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

  /** Returns the time up to which the account was last refilled, which is when it was last used. */
  double advancedAtMs() {
    return advancedAtMs;
  }

  /**
   * Returns the number of this customer's attempts from this gateway that backends are processing.
   */
  int attemptsInFlight() {
    return attemptsInFlight;
  }

  void recordAttemptStart() {
    attemptsInFlight++;
  }

  void recordAttemptEnd() {
    attemptsInFlight--;
  }

  /** Charges the units of an admitted request. */
  void charge(double units) {
    availableUnits -= units;
    localShare.charge(units);
    rates.recordLocalUse(units);
  }

  /** Adds units to a charge, here and at the counter. Negative units are returned. */
  void correctCharge(double units) {
    availableUnits -= units;
    settlement.addUnsettled(units);
  }

  /**
   * Returns the units that a call for a request should add: 0 if the bucket does not have enough
   * units.
   */
  double unitsToRequest(double units) {
    return usesFixedWindow() || availableUnits >= units ? units : 0;
  }

  /**
   * Returns whether the quota certainly has fewer units left than requested, so that a call would
   * only add load to the counter.
   */
  boolean isKnownExhausted(double units) {
    if (usesFixedWindow()) {
      boolean confirmed =
          lastReplyWindow == windows.windowAt(context.nowMs())
              && lastReplyTotalUnits >= plan.burstUnits();
      double leastUnits = confirmed ? units : -MAX_ESTIMATED_OVERDRAFT_RATIO * plan.burstUnits();
      return availableUnits < leastUnits;
    }
    // Upper bound: the units in the bucket if the peers have used nothing since the last reply.
    double maxUnits =
        Math.min(plan.burstUnits(), availableUnits + assumedPeerUnits) - settlement.inFlightUnits();
    return maxUnits < units && context.nowMs() - lastReplyAtMs < EXHAUSTED_RECHECK_MS;
  }

  /** Changes the plan. The available units are kept up to the size of the new bucket. */
  void changePlan(Plan newPlan, double meanServiceMs) {
    advance(meanServiceMs);
    applyPlan(newPlan);
    availableUnits = Math.min(availableUnits, newPlan.burstUnits());
  }

  /** Applies a plan and derives the length of the windows from it. */
  private void applyPlan(Plan newPlan) {
    plan = newPlan;
    hardLimit.applyPlan(newPlan);
    windows.applyPlan(newPlan, gateways, hasSharedCounter());
  }

  // Advancing time

  /**
   * Refills up to the current time. The other gateways are assumed to continue at their measured
   * rate, but at most at their share of the refill, so that this gateway keeps its own share.
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
    double peerUnitsPerSecond = rates.peerUnitsPerSecond();
    if (hasSharedCounter()) {
      double minUnitsPerSecond = unitsPerSecond * MIN_GATEWAY_USE_RATIO;
      double localUnitsPerSecond = rates.localUnitsPerSecond();
      double localUseShare =
          (localUnitsPerSecond + minUnitsPerSecond)
              / (localUnitsPerSecond + peerUnitsPerSecond + minUnitsPerSecond * gateways);
      peerUnitsPerSecond = Math.min(peerUnitsPerSecond, unitsPerSecond * (1 - localUseShare));
    }
    double bucketSizeUnits = bucketSizeUnits();
    double unitsWithoutPeerUse =
        Math.min(bucketSizeUnits, availableUnits + unitsPerSecond * seconds);
    availableUnits =
        Math.min(bucketSizeUnits, availableUnits + (unitsPerSecond - peerUnitsPerSecond) * seconds);
    assumedPeerUnits += unitsWithoutPeerUse - availableUnits;
  }

  /**
   * Starts a new window with a full burst, and subtracts the units that peers are expected to use.
   */
  private void advanceFixedWindow(double seconds) {
    double nowMs = context.nowMs();
    double elapsedMs = nowMs - windows.startMs(windows.windowAt(nowMs));
    double spanMs = Math.min(elapsedMs, seconds * 1000);
    if (spanMs == elapsedMs) {
      availableUnits = plan.burstUnits();
    }
    double defaultUnitsPerSecond = DEFAULT_USE_RATIO * plan.unitsPerSecond();
    double measuredRateWeight = 0;
    if (!Double.isNaN(lastReplyAtMs)) {
      measuredRateWeight = Math.exp((lastReplyAtMs - nowMs) / HEAVY_USE_LIFETIME_MS);
    }
    double expectedUnitsPerSecond =
        defaultUnitsPerSecond
            + measuredRateWeight * (rates.peerUnitsPerSecond() - defaultUnitsPerSecond);
    availableUnits -= expectedUnitsPerSecond * spanMs / 1000;
  }

  // Replies of the counter

  /**
   * Updates the replica by the growth of a shared total. Growth beyond what this gateway added is
   * attributed to its peers.
   *
   * @param window the window of the count
   * @param addedUnits the units that the call added, settlements included
   * @param requestedUnits the part of {@code addedUnits} that is the estimate of the waiting
   *     request
   * @param totalUnits the total after the call
   */
  void recordTotal(long window, double addedUnits, double requestedUnits, double totalUnits) {
    double nowMs = context.nowMs();
    boolean isFirstReplyOfWindow = lastReplyWindow != window;
    boolean hasEarlierReply = !Double.isNaN(lastReplyAtMs);
    double elapsedMs = nowMs - lastReplyAtMs;
    if (isFirstReplyOfWindow || !hasEarlierReply) {
      elapsedMs = nowMs - windows.startMs(window);
    }
    double peerUnits = peerGrowth(isFirstReplyOfWindow, addedUnits, totalUnits);
    peerUnits -= settlement.confirm(peerUnits, !usesFixedWindow());
    lastReplyWindow = window;
    lastReplyTotalUnits = totalUnits;
    if (usesFixedWindow()) {
      if (window == windows.windowAt(nowMs)) {
        availableUnits = plan.burstUnits() - (totalUnits - requestedUnits);
      }
      double ageMs = hasEarlierReply ? nowMs - lastReplyAtMs : elapsedMs;
      rates.update(Math.max(0, peerUnits), elapsedMs, ageMs, FIXED_WINDOW_RATE_LIFETIME_MS);
    } else {
      applyMeasuredPeerUse(peerUnits, elapsedMs, hasEarlierReply);
      rates.update(peerUnits, elapsedMs, elapsedMs, RATE_LIFETIME_MS);
    }
    lastReplyAtMs = nowMs;
  }

  /**
   * Returns the growth of a total beyond what this gateway added with the call.
   *
   * <p>If a total has more than halved, the counter has lost its counts, and no quota was returned:
   * only the units that it holds beyond those of the call count as growth. Without this, a
   * restarted counter would give every customer a second burst. The drawback is that units added by
   * peers between the previous reply and the restart are not seen.
   */
  private double peerGrowth(boolean isFirstReplyOfWindow, double addedUnits, double totalUnits) {
    double growthUnits = isFirstReplyOfWindow ? totalUnits : totalUnits - lastReplyTotalUnits;
    double peerUnits = growthUnits - addedUnits;
    boolean countsLost =
        !isFirstReplyOfWindow && peerUnits < 0 && totalUnits < lastReplyTotalUnits / 2;
    return countsLost ? Math.max(0, totalUnits - addedUnits) : peerUnits;
  }

  /** Replaces the assumed use of the peers by their measured use. */
  private void applyMeasuredPeerUse(double peerUnits, double elapsedMs, boolean hasEarlierReply) {
    double returnedUnits;
    if (hasEarlierReply) {
      double replacedShare = Math.min(1, elapsedMs / Math.max(1, context.nowMs() - lastReplyAtMs));
      returnedUnits = assumedPeerUnits * replacedShare;
    } else {
      returnedUnits = plan.unitsPerSecond() * elapsedMs / 1000;
    }
    availableUnits = Math.min(plan.burstUnits(), availableUnits + returnedUnits - peerUnits);
    hardLimit.recordPeerUse(peerUnits);
    assumedPeerUnits = 0;
  }

  /**
   * Returns the size of this gateway's bucket. Without a shared counter, each gateway has an even
   * share of the burst.
   */
  private double bucketSizeUnits() {
    return hasSharedCounter() ? plan.burstUnits() : plan.burstUnits() / gateways;
  }

  private boolean hasSharedCounter() {
    return context.settings().capabilities().sharedCounter();
  }
}
