package quotagateway.scale;

/**
 * A fleet of hollow gateways and its load.
 *
 * @param gateways gateways
 * @param spread through how many of them a customer's requests come
 * @param customers customers, of which some ask far more than their quota
 * @param backends backends, all in one list
 * @param shards shards of the counter
 * @param shardCallMs time of one call at a shard
 * @param regions regions of gateways, backends and shards
 * @param requestsPerSecond of all customers together
 * @param seed of all random numbers
 */
record FleetOptions(
    int gateways,
    int spread,
    int customers,
    int backends,
    int shards,
    double shardCallMs,
    int regions,
    double requestsPerSecond,
    long seed) {

  /** Requests a second of one customer on the mean, near the target's 1.5 million for 990,000. */
  private static final double REQUESTS_EACH = 0.8;

  /** A backend's share of work: well under what it takes. */
  private static final double REQUESTS_PER_BACKEND = 15;

  private static final double SHARD_CALL_MS = 0.05;

  /** A fleet for that load, with the counter whole and quick. */
  static FleetOptions of(int gateways, int spread, double requestsPerSecond, long seed) {
    return new FleetOptions(
        gateways,
        Math.min(spread, gateways),
        (int) (requestsPerSecond / REQUESTS_EACH),
        (int) Math.ceil(requestsPerSecond / REQUESTS_PER_BACKEND),
        1,
        SHARD_CALL_MS,
        1,
        requestsPerSecond,
        seed);
  }

  FleetOptions withShards(int number, double callMs) {
    return new FleetOptions(
        gateways, spread, customers, backends, number, callMs, regions, requestsPerSecond, seed);
  }

  FleetOptions withRegions(int number) {
    return new FleetOptions(
        gateways,
        spread,
        customers,
        backends,
        shards,
        shardCallMs,
        number,
        requestsPerSecond,
        seed);
  }
}
