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

/** The index against plain lists that are made anew of all backends for each question. */
class EndpointIndexTest {

  private static final double WARM_UP_MS = 5_000;

  /** Filters, sorts and sums all backends each time, as a plain program would. */
  private static final class PlainIndex extends EndpointIndex {
    PlainIndex(long gateway) {
      super(gateway);
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
      return sorted(slot -> true, slot -> RendezvousHash.rank(id(slot), gateway()));
    }

    @Override
    public OrderedSlots inZone(String zone) {
      return sorted(slot -> groups.get(group(slot)).startsWith(zone + "/"), this::id);
    }

    @Override
    public OrderedSlots inCell(String zone, int cell) {
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
    public int countWarm(double warmUpMs, double now) {
      return (int) serve().filter(slot -> !isWarmingUp(slot, warmUpMs, now)).count();
    }

    @Override
    public int group(String zone, int cell) {
      int group = super.group(zone, cell);
      if (group == groups.size()) {
        groups.add(zone + "/" + cell);
      }
      return group;
    }

    private final List<String> groups = new ArrayList<>();

    private IntStream slots(IntPredicate among) {
      return IntStream.range(0, capacity()).filter(this::isUsed).filter(among);
    }

    private IntStream serve() {
      return slots(slot -> state(slot) == EndpointState.SERVING);
    }

    private OrderedSlots sorted(IntPredicate among, OrderedSlots.Key order) {
      OrderedSlots sorted = new OrderedSlots(order);
      serve().filter(among).forEach(sorted::add);
      return sorted;
    }
  }

  private static List<String> play(long seed, int gateways, int backends, EndpointIndex index) {
    List<String> actions = new ArrayList<>();
    new RandomEvents(
            seed,
            gateways,
            backends,
            settings -> new GatewayPolicy(settings, seed, index),
            (now, event, led) -> actions.add(event + " at " + now + ": " + led))
        .run(2_000);
    return actions;
  }

  /** Whatever is chosen among the backends is chosen alike by either index, event by event. */
  @Test
  void decidesTheSameAsWithPlainLists() {
    int[][] sizes = {{1, 6}, {2, 24}, {6, 60}, {100, 200}, {300, 24}};
    for (int seed = 0; seed < sizes.length; seed++) {
      List<String> plain = play(seed, sizes[seed][0], sizes[seed][1], new PlainIndex(1));
      List<String> quick = play(seed, sizes[seed][0], sizes[seed][1], new EndpointIndex(1));
      assertEquals(plain, quick);
      assertTrue(plain.stream().filter(line -> line.contains("StartAttempt[")).count() > 500);
    }
  }

  private static Set<Long> members(EndpointIndex index, int many) {
    Set<Long> members = new HashSet<>();
    for (int i = 0; i < many; i++) {
      members.add(index.id(index.ranked().get(i)));
    }
    return members;
  }

  private static void serve(EndpointIndex index, long id) {
    index.update(
        index.add(id, index.group("a", 0)),
        index.group("a", 0),
        EndpointState.SERVING,
        1,
        0,
        WARM_UP_MS,
        0);
  }

  /** Of the backends that come first in a gateway's order, one that is replaced moves one. */
  @Test
  void changesOneMemberOfASubsetForAReplacedBackend() {
    EndpointIndex index = new EndpointIndex(4);
    SplittableRandom random = new SplittableRandom(5);
    for (long id = 0; id < 1_000; id++) {
      serve(index, id);
    }
    for (int round = 0; round < 500; round++) {
      Set<Long> before = members(index, 100);
      int slot = index.serving().get(random.nextInt(index.serving().size()));
      index.update(slot, index.group(slot), EndpointState.REMOVED, 1, 0, WARM_UP_MS, 0);
      index.remove(slot);
      serve(index, 1_000 + round);
      before.removeAll(members(index, 100));
      assertTrue(before.size() <= 1, before + " left at once");
    }
  }

  /**
   * However often sizes of all magnitudes come and go, the mean of those left is that of a fresh
   * start.
   */
  @Test
  void keepsTheMeanWeightExactThroughManyChanges() {
    EndpointIndex index = new EndpointIndex(4);
    SplittableRandom random = new SplittableRandom(6);
    serve(index, 1);
    serve(index, 2);
    int slot = index.find(2);
    for (int i = 0; i < 100_000; i++) {
      double weight = Math.pow(10, random.nextInt(-6, 9)) * random.nextDouble();
      index.update(slot, index.group(slot), EndpointState.SERVING, weight, 0, WARM_UP_MS, 0);
    }
    index.update(slot, index.group(slot), EndpointState.SERVING, 0.2, 0, WARM_UP_MS, 0);
    assertEquals(0.6, index.meanWeight());
  }

  // A weight of nought or a huge one is junk, and would take a backend out or make it the only one.
  @Test
  void boundsWeightsThatAreJunk() {
    EndpointIndex index = new EndpointIndex(4);
    serve(index, 1);
    int slot = index.find(1);
    index.update(slot, index.group(slot), EndpointState.SERVING, 0, 0, WARM_UP_MS, 0);
    assertEquals(1e-6, index.weight(slot));
    index.update(slot, index.group(slot), EndpointState.SERVING, 1e300, 0, WARM_UP_MS, 0);
    assertEquals(1e9, index.weight(slot));
  }

  @Test
  void movesAnEndpointBetweenZones() {
    EndpointIndex index = new EndpointIndex(4);
    serve(index, 1);
    int slot = index.find(1);
    int other = index.group("b", 3);
    index.update(slot, other, EndpointState.SERVING, 1, 0, WARM_UP_MS, 0);
    assertEquals(0, index.inZone("a").size());
    assertEquals(1, index.inZone("b").size());
    assertEquals(1, index.inCell("b", 3).size());
  }

  // No new connection goes to an endpoint that left, though it is removed later.
  @Test
  void givesNoAddressOfAnEndpointThatLeft() {
    EndpointIndex index = new EndpointIndex(4);
    serve(index, 1);
    int slot = index.find(1);
    index.setAddress(slot, 77);
    assertEquals(77, index.address(1));
    index.keepOnly(new BitSet());
    assertEquals(Endpoint.NO_ADDRESS, index.address(1));
    assertTrue(index.hasLeft(slot));
  }

  @Test
  void handsOverEachRemovedEndpointOnce() {
    EndpointIndex index = new EndpointIndex(4);
    serve(index, 1);
    serve(index, 2);
    int drained = index.find(1);
    index.update(drained, index.group(drained), EndpointState.REMOVED, 1, 0, WARM_UP_MS, 0);
    index.keepOnly(new BitSet());
    List<Integer> removed = new ArrayList<>();
    while (index.sweep(1, removed::add)) {
      assertTrue(removed.size() <= 1);
    }
    assertEquals(List.of(index.find(2)), removed);
  }
}
