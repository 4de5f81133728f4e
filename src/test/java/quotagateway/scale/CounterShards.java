package quotagateway.scale;

import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;

/** The shards of the counter and the assignment of customers to them. */
final class CounterShards {

  private final List<CounterShard> shards;

  CounterShards(int shardCount, VirtualTime time, double callMs, double maxQueuedMs) {
    shards =
        IntStream.range(0, shardCount)
            .mapToObj(i -> new CounterShard(time, callMs, maxQueuedMs))
            .toList();
  }

  /**
   * Returns the index of a customer's shard by a hash of the customer. The window of a count is not
   * part of the hash, so that one shard holds all counts of a customer and the failure of a shard
   * always affects the same customers.
   */
  static int indexFor(int customer, int shardCount) {
    int hash = customer * 0x9E3779B1;
    return (int) (((hash & 0xFFFFFFFFL) * shardCount) >>> 32);
  }

  CounterShard get(int shard) {
    return shards.get(shard);
  }

  int size() {
    return shards.size();
  }

  long calls() {
    return shards.stream().mapToLong(CounterShard::calls).sum();
  }

  long bytes() {
    return shards.stream().mapToLong(CounterShard::bytes).sum();
  }

  /** Returns the calls of the busiest shard divided by the mean over all shards. */
  double imbalance() {
    long[] calls = shards.stream().mapToLong(CounterShard::calls).toArray();
    double mean = Arrays.stream(calls).average().orElse(0);
    return mean == 0 ? 1 : Arrays.stream(calls).max().orElse(0) / mean;
  }
}
