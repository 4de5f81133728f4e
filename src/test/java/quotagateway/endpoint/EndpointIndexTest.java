package quotagateway.endpoint;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.IntPredicate;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import quotagateway.policy.GatewayPolicy;
import quotagateway.policy.RandomEvents;

/** Compares the index with lists that are rebuilt from all backends for each query. */
class EndpointIndexTest {

  private static final double WARM_UP_MS = 5_000;

  /** A reference implementation that filters, sorts and sums all backends for each query. */
  private static final class ReferenceIndex extends EndpointIndex {
    ReferenceIndex(long gatewayIndex) {
      super(gatewayIndex);
    }

    @Override
    public int find(long id) {
      return slots(slot -> id(slot) == id).findFirst().orElse(NONE);
    }

    @Override
    public OrderedSlots serving() {
      return sorted(slot -> true, this::id);
    }

    @Override
    public OrderedSlots ranked() {
      return sorted(slot -> true, slot -> RendezvousHash.rank(id(slot), gatewayIndex()));
    }

    @Override
    public OrderedSlots servingInZone(String zone) {
      return sorted(slot -> groups.get(group(slot)).startsWith(zone + "/"), this::id);
    }

    @Override
    public OrderedSlots servingInCell(String zone, int cell) {
      return sorted(slot -> groups.get(group(slot)).equals(zone + "/" + cell), this::id);
    }

    @Override
    public double meanWeight() {
      OrderedSlots serving = serving();
      return IntStream.range(0, serving.size())
          .mapToDouble(i -> weight(serving.get(i)))
          .average()
          .orElse(1);
    }

    @Override
    public int countWarm(double warmUpMs, double nowMs) {
      return (int) servingSlots().filter(slot -> !isWarmingUp(slot, warmUpMs, nowMs)).count();
    }

    @Override
    public int groupNumber(String zone, int cell) {
      int group = super.groupNumber(zone, cell);
      if (group == groups.size()) {
        groups.add(zone + "/" + cell);
      }
      return group;
    }

    private final List<String> groups = new ArrayList<>();

    private IntStream slots(IntPredicate predicate) {
      return IntStream.range(0, capacity()).filter(this::isUsed).filter(predicate);
    }

    private IntStream servingSlots() {
      return slots(slot -> state(slot) == EndpointState.SERVING);
    }

    private OrderedSlots sorted(IntPredicate predicate, OrderedSlots.Key key) {
      OrderedSlots sorted = new OrderedSlots(key);
      servingSlots().filter(predicate).forEach(sorted::add);
      return sorted;
    }
  }

  private static List<String> runRandomEvents(
      long seed, int gateways, int backends, EndpointIndex index) {
    List<String> actions = new ArrayList<>();
    new RandomEvents(
            seed,
            gateways,
            backends,
            settings -> new GatewayPolicy(settings, seed, index, Integer.MAX_VALUE),
            (nowMs, event, emitted) -> actions.add(event + " at " + nowMs + ": " + emitted))
        .run(2_000);
    return actions;
  }

  /** Both indexes must lead to the same actions for each event. */
  @Test
  void leadsToSameActionsAsReferenceIndex() {
    int[][] sizes = {{1, 6}, {2, 24}, {6, 60}, {100, 200}, {300, 24}};
    for (int seed = 0; seed < sizes.length; seed++) {
      List<String> expected =
          runRandomEvents(seed, sizes[seed][0], sizes[seed][1], new ReferenceIndex(1));
      List<String> actual =
          runRandomEvents(seed, sizes[seed][0], sizes[seed][1], new EndpointIndex(1));
      assertEquals(expected, actual);
      assertTrue(expected.stream().filter(line -> line.contains("StartAttempt[")).count() > 500);
    }
  }

  private static Set<Long> subset(EndpointIndex index, int size) {
    Set<Long> subset = new HashSet<>();
    for (int i = 0; i < size; i++) {
      subset.add(index.id(index.ranked().get(i)));
    }
    return subset;
  }

  private static void addServing(EndpointIndex index, long id) {
    index.update(
        index.add(id, index.groupNumber("a", 0)),
        index.groupNumber("a", 0),
        EndpointState.SERVING,
        1,
        0,
        WARM_UP_MS,
        0);
  }

  /** Replacing one endpoint changes at most one of the first endpoints in a gateway's ranking. */
  @Test
  void changesAtMostOneSubsetMemberPerReplacedEndpoint() {
    EndpointIndex index = new EndpointIndex(4);
    SplittableRandom random = new SplittableRandom(5);
    for (long id = 0; id < 1_000; id++) {
      addServing(index, id);
    }
    for (int round = 0; round < 500; round++) {
      Set<Long> before = subset(index, 100);
      int slot = index.serving().get(random.nextInt(index.serving().size()));
      index.update(slot, index.group(slot), EndpointState.REMOVED, 1, 0, WARM_UP_MS, 0);
      index.remove(slot);
      addServing(index, 1_000 + round);
      before.removeAll(subset(index, 100));
      assertTrue(before.size() <= 1, before + " left the subset at once");
    }
  }

  /** Weights of very different magnitudes must leave no rounding error in the mean. */
  @Test
  void keepsMeanWeightExactThroughManyChanges() {
    EndpointIndex index = new EndpointIndex(4);
    SplittableRandom random = new SplittableRandom(6);
    addServing(index, 1);
    addServing(index, 2);
    int slot = index.find(2);
    for (int i = 0; i < 100_000; i++) {
      double weight = Math.pow(10, random.nextInt(-6, 9)) * random.nextDouble();
      index.update(slot, index.group(slot), EndpointState.SERVING, weight, 0, WARM_UP_MS, 0);
    }
    index.update(slot, index.group(slot), EndpointState.SERVING, 0.2, 0, WARM_UP_MS, 0);
    assertEquals(0.6, index.meanWeight());
  }

  // An invalid weight of zero would exclude a backend, and a huge one would make it the only one
  // used.
  @Test
  void clampsInvalidWeights() {
    EndpointIndex index = new EndpointIndex(4);
    addServing(index, 1);
    int slot = index.find(1);
    index.update(slot, index.group(slot), EndpointState.SERVING, 0, 0, WARM_UP_MS, 0);
    assertEquals(1e-6, index.weight(slot));
    index.update(slot, index.group(slot), EndpointState.SERVING, 1e300, 0, WARM_UP_MS, 0);
    assertEquals(1e9, index.weight(slot));
  }

  @Test
  void movesEndpointBetweenZones() {
    EndpointIndex index = new EndpointIndex(4);
    addServing(index, 1);
    int slot = index.find(1);
    int other = index.groupNumber("b", 3);
    index.update(slot, other, EndpointState.SERVING, 1, 0, WARM_UP_MS, 0);
    assertEquals(0, index.servingInZone("a").size());
    assertEquals(1, index.servingInZone("b").size());
    assertEquals(1, index.servingInCell("b", 3).size());
  }

  // No new connection may go to an endpoint that is no longer listed, even before its removal.
  @Test
  void returnsNoAddressOfUnlistedEndpoint() {
    EndpointIndex index = new EndpointIndex(4);
    addServing(index, 1);
    int slot = index.find(1);
    index.setAddress(slot, 77);
    assertEquals(77, index.address(1));
    index.beginSnapshotRemoval(new BitSet());
    assertEquals(Endpoint.NO_ADDRESS, index.address(1));
    assertTrue(index.isPendingRemoval(slot));
  }

  @Test
  void passesEachRemovedSlotToConsumerOnce() {
    EndpointIndex index = new EndpointIndex(4);
    addServing(index, 1);
    addServing(index, 2);
    int drained = index.find(1);
    index.update(drained, index.group(drained), EndpointState.REMOVED, 1, 0, WARM_UP_MS, 0);
    index.beginSnapshotRemoval(new BitSet());
    List<Integer> removed = new ArrayList<>();
    while (index.sweep(1, removed::add)) {
      assertTrue(removed.size() <= 1);
    }
    assertEquals(List.of(index.find(2)), removed);
  }
}
