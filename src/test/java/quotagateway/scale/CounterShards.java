package quotagateway.scale;

import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;

/** The shards of the counter. */
final class CounterShards {

  private final List<CounterShard> shards;

  CounterShards(int number, VirtualTime time, double callMs, double longestQueueMs) {
    shards =
        IntStream.range(0, number)
            .mapToObj(i -> new CounterShard(time, callMs, longestQueueMs))
            .toList();
  }

  /**
   * One of so many by the hash of a customer. The window of a count is no part of it, so that all
   * of a customer's counts are together: while a shard is away, the same customers go without, and
   * no others.
   */
  static int spread(int customer, int among) {
    int hash = customer * 0x9E3779B1;
    return (int) (((hash & 0xFFFFFFFFL) * among) >>> 32);
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

  /** Calls of the busiest shard against the mean of all. */
  double imbalance() {
    long[] calls = shards.stream().mapToLong(CounterShard::calls).toArray();
    double mean = Arrays.stream(calls).average().orElse(0);
    return mean == 0 ? 1 : Arrays.stream(calls).max().orElse(0) / mean;
  }
}
