package quotagateway.scale;

import org.HdrHistogram.Histogram;

/** Statistics of a fleet, or of some of its customers, over a span of virtual time. */
final class FleetStatistics {

  private static final long MAX_MICROS = 10_000_000;

  long received;
  long served;
  long failed;

  /** Requests rejected by the quota check. */
  long rejected;

  /**
   * Rejected requests for which the customer's bucket in the reference ledger held enough units.
   */
  long rejectedWithinQuota;

  /** Requests of customers whose mean demand is well below their quota. */
  long lightReceived;

  long lightRejected;

  /** First attempts for which the customer's bucket held enough units. */
  long sentWithinQuota;

  /** First attempts for which the bucket held too few units. */
  long sentBeyondQuota;

  /** Requests that the buckets would have admitted if each had drawn its units on arrival. */
  long grantable;

  long attempts;
  long newConnections;
  long counterCalls;
  long counterBytes;
  long endpointListMessages;
  long endpointListBytes;

  /** Time from the arrival of a request to its first attempt. */
  final Histogram addedMicros = new Histogram(MAX_MICROS, 3);

  double servedShare() {
    return share(served, received);
  }

  /** Returns served requests per request that one gateway with one bucket would have admitted. */
  double servedOfGrantable() {
    return share(served, grantable);
  }

  double rejectedWithinQuotaShare() {
    return share(rejectedWithinQuota, received);
  }

  double lightRejectedShare() {
    return share(lightRejected, lightReceived);
  }

  double beyondShare() {
    return share(sentBeyondQuota, sentWithinQuota + sentBeyondQuota);
  }

  double callsEach() {
    return share(counterCalls, received);
  }

  double newConnectionShare() {
    return share(newConnections, attempts);
  }

  double addedMs(double percentile) {
    return addedMicros.getValueAtPercentile(percentile) / 1000.0;
  }

  void recordAddedLatency(double ms) {
    addedMicros.recordValue(Math.min(MAX_MICROS, Math.max(0, (long) (ms * 1000))));
  }

  private static double share(long count, long total) {
    return total == 0 ? 0 : count / (double) total;
  }
}
