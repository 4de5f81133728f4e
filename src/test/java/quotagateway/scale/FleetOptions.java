package quotagateway.scale;

/**
 * Options of a simulated fleet and its load.
 *
 * @param gateways number of gateways
 * @param spread number of gateways over which the requests of one customer are spread
 * @param customers number of customers; some demand far more than their quota
 * @param backends number of backends, all in one endpoint list
 * @param shards number of counter shards
 * @param shardCallMs processing time of one call at a shard
 * @param regions number of regions over which gateways, backends and shards are distributed
 * @param requestsPerSecond request rate of all customers together
 * @param seed seed of all random numbers
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

  /**
   * Mean requests per second of one customer, roughly half of the target's 1.5 million per second
   * for 990,000 customers.
   */
  private static final double REQUESTS_PER_CUSTOMER = 0.8;

  /** Requests per second of one backend, well below its capacity. */
  private static final double REQUESTS_PER_BACKEND = 15;

  private static final double SHARD_CALL_MS = 0.05;

  /** Returns options for a load, with a single fast counter shard and one region. */
  static FleetOptions of(int gateways, int spread, double requestsPerSecond, long seed) {
    return new FleetOptions(
        gateways,
        Math.min(spread, gateways),
        (int) (requestsPerSecond / REQUESTS_PER_CUSTOMER),
        (int) Math.ceil(requestsPerSecond / REQUESTS_PER_BACKEND),
        1,
        SHARD_CALL_MS,
        1,
        requestsPerSecond,
        seed);
  }

  FleetOptions withShards(int count, double callMs) {
    return new FleetOptions(
        gateways, spread, customers, backends, count, callMs, regions, requestsPerSecond, seed);
  }

  FleetOptions withRegions(int count) {
    return new FleetOptions(
        gateways, spread, customers, backends, shards, shardCallMs, count, requestsPerSecond, seed);
  }
}
