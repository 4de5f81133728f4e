package willowdoor.scale;

import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;

/** The shards of the counter; a count lives on the shard that the hash of its customer names. */
final class CounterShards {

  private final List<CounterShard> shards;

  CounterShards(int number, VirtualTime time, double callMs, double longestQueueMs) {
    shards = IntStream.range(0, number).mapToObj(i -> new CounterShard(time, callMs, longestQueueMs)).toList();
  }

  /**
   * The shard of a count. Its window, behind the colon, is no part of the hash, so that all of a customer's
   * counts are together: when a shard is away, the same customers are held to the replica, and no others.
   */
  CounterShard of(String name) {
    return shards.get(number(name));
  }

  int number(String name) {
    int colon = name.indexOf(':');
    String customer = colon < 0 ? name : name.substring(0, colon);
    int hash = customer.hashCode() * 0x9E3779B1;
    return (int) ((hash & 0xFFFFFFFFL) * shards.size() >>> 32);
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
