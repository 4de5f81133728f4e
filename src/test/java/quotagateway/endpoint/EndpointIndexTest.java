package quotagateway.endpoint;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.IntPredicate;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import quotagateway.policy.GatewayPolicy;
import quotagateway.policy.PolicyFixture;
import quotagateway.policy.RandomEvents;
import quotagateway.policy.action.ScheduleTimer;
import quotagateway.policy.action.StartAttempt;
import quotagateway.policy.action.Timer;
import quotagateway.policy.event.EndpointsUpdated;
import quotagateway.policy.event.Status;
import quotagateway.policy.event.TimerFired;

/** The index against plain lists that are made anew of all backends for each question. */
class EndpointIndexTest {

  private static final double COLD_MS = 5_000;

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
    public int countWarm(double coldMs, double now) {
      return (int) serve().filter(slot -> !isWarmingUp(slot, coldMs, now)).count();
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
  void decisionsAreTheSameAsWithPlainLists() {
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
        COLD_MS,
        0);
  }

  /** Of the backends that come first in a gateway's order, one that is replaced moves one. */
  @Test
  void aReplacedBackendMovesOneMemberAtMost() {
    EndpointIndex index = new EndpointIndex(4);
    SplittableRandom random = new SplittableRandom(5);
    for (long id = 0; id < 1_000; id++) {
      serve(index, id);
    }
    for (int round = 0; round < 500; round++) {
      Set<Long> before = members(index, 100);
      int slot = index.serving().get(random.nextInt(index.serving().size()));
      index.update(slot, index.group(slot), EndpointState.REMOVED, 1, 0, COLD_MS, 0);
      index.remove(slot);
      serve(index, 1_000 + round);
      before.removeAll(members(index, 100));
      assertTrue(before.size() <= 1, before + " left at once");
    }
  }

  /** Of a long list a gateway has full state of few, whatever it has met. */
  @Test
  void fullStateIsKeptOfFew() {
    int length = 30_000;
    PolicyFixture gateway =
        new PolicyFixture(PolicyFixture.settings(true, 2_000, false)).backends(length);
    assertEquals(0, gateway.policy.fullStates());
    for (int i = 0; i < 4 * length; i++) {
      gateway.pass(1).request("safe", "free", 1);
      if (gateway.did(StartAttempt.class)) {
        gateway.outcome(gateway.only(StartAttempt.class), 0, Status.REJECTED, true);
      }
    }
    assertTrue(gateway.policy.fullStates() > 1_000, gateway.policy.fullStates() + " met");
    assertTrue(gateway.policy.fullStates() < 10_000, gateway.policy.fullStates() + " kept");
  }

  /**
   * Those that start are met with care, however many they are; each has its tokens while there is
   * room.
   */
  @Test
  void aWholeListOfColdBackendsIsHeldWithFewFullStates() {
    PolicyFixture gateway = new PolicyFixture(PolicyFixture.settings(true, 2_000, false));
    List<Endpoint> entries = new ArrayList<>();
    for (int i = 0; i < 30_000; i++) {
      entries.add(new Endpoint(i, "a", 0, EndpointState.SERVING, 1, gateway.now));
    }
    gateway.on(new EndpointsUpdated(EndpointListForm.SNAPSHOT, entries));
    assertTrue(gateway.policy.fullStates() < 5_000, gateway.policy.fullStates() + " kept");
    int sent = 0;
    for (int i = 0; i < 1_000; i++) {
      gateway.request("safe", "free", 1);
      sent += gateway.did(StartAttempt.class) ? 1 : 0;
    }
    assertEquals(0, sent, "sent to backends that have just started");
  }

  private static List<Endpoint> entries(int from, int to, EndpointState phase) {
    List<Endpoint> entries = new ArrayList<>();
    for (int i = from; i < to; i++) {
      entries.add(new Endpoint(i, "a", i % 7, phase, 1, 0, i + 1));
    }
    return entries;
  }

  private static Set<Long> listed(PolicyFixture gateway, int most) {
    Set<Long> listed = new HashSet<>();
    for (long id = 0; id < most; id++) {
      if (gateway.policy.listing().address(id) == id + 1) {
        listed.add(id);
      }
    }
    return listed;
  }

  private static long backendOfNextRequest(PolicyFixture gateway) {
    gateway.request("safe", "free", 1);
    StartAttempt send = gateway.only(StartAttempt.class);
    gateway.outcome(send, 0, Status.OK, true);
    return send.endpointId();
  }

  /**
   * A whole list in pieces leaves those that none of them named, and one that is cut leaves all.
   */
  @Test
  void onlyAWholeListTellsWhoHasLeft() {
    PolicyFixture gateway = new PolicyFixture(PolicyFixture.settings(true, 2, false));
    gateway.on(
        new EndpointsUpdated(EndpointListForm.SNAPSHOT, entries(0, 4, EndpointState.SERVING)));
    gateway.on(
        new EndpointsUpdated(EndpointListForm.FRAGMENT, entries(0, 2, EndpointState.SERVING)));
    gateway.on(new EndpointsUpdated(EndpointListForm.DELTA, List.of()));
    gateway.on(
        new EndpointsUpdated(EndpointListForm.FRAGMENT, entries(0, 1, EndpointState.SERVING)));
    assertEquals(Set.of(0L, 1L, 2L, 3L), listed(gateway, 5));
    gateway.on(
        new EndpointsUpdated(EndpointListForm.SNAPSHOT, entries(2, 3, EndpointState.SERVING)));
    assertEquals(Set.of(0L, 2L), listed(gateway, 5));
    for (int i = 0; i < 50; i++) {
      assertTrue(Set.of(0L, 2L).contains(backendOfNextRequest(gateway)));
    }
  }

  /** A piece that drains backends holds at once, whatever the rest of its list is. */
  @Test
  void aDrainHoldsFromItsPieceOn() {
    PolicyFixture gateway = PolicyFixture.counted();
    gateway.on(
        new EndpointsUpdated(EndpointListForm.FRAGMENT, entries(0, 3, EndpointState.DRAINING)));
    for (int i = 0; i < 50; i++) {
      assertEquals(3, backendOfNextRequest(gateway));
    }
  }

  /** Thousands that left with one list get nothing from then on, and are removed by and by. */
  @Test
  void manyThatLeaveAtOnceGetNothingMoreThoughTheyAreRemovedInSlices() {
    PolicyFixture gateway = new PolicyFixture(PolicyFixture.settings(true, 2, false));
    gateway.on(
        new EndpointsUpdated(EndpointListForm.SNAPSHOT, entries(0, 10_500, EndpointState.SERVING)));
    gateway.on(
        new EndpointsUpdated(
            EndpointListForm.SNAPSHOT, entries(10_499, 10_503, EndpointState.SERVING)));
    int slices = 0;
    while (gateway.did(ScheduleTimer.class)) {
      slices++;
      assertEquals(Endpoint.NO_ADDRESS, gateway.policy.listing().address(3));
      for (int i = 0; i < 3; i++) {
        gateway.request("safe", "free", 1);
        if (gateway.did(StartAttempt.class)) {
          StartAttempt send = gateway.only(StartAttempt.class);
          boolean toldAgain = send.endpointId() == 10_400 && slices > 10;
          assertTrue(
              send.endpointId() >= 10_499 || toldAgain,
              "sent to " + send.endpointId() + ", which has left");
          gateway.outcome(send, 0, Status.OK, true);
        }
      }
      // One that is told of again while others are removed stays.
      if (slices == 10) {
        gateway.on(
            new EndpointsUpdated(
                EndpointListForm.DELTA, entries(10_400, 10_401, EndpointState.SERVING)));
      }
      gateway.pass(1).on(new TimerFired(Timer.ENDPOINT_SWEEP));
    }
    assertTrue(slices > 10, slices + " slices");
    assertEquals(Set.of(10_400L, 10_499L, 10_500L, 10_501L, 10_502L), listed(gateway, 10_600));
  }

  /**
   * However often sizes of all magnitudes come and go, the mean of those left is that of a fresh
   * start.
   */
  @Test
  void theMeanSizeDoesNotDrift() {
    EndpointIndex index = new EndpointIndex(4);
    SplittableRandom random = new SplittableRandom(6);
    serve(index, 1);
    serve(index, 2);
    int slot = index.find(2);
    for (int i = 0; i < 100_000; i++) {
      double size = Math.pow(10, random.nextInt(-6, 9)) * random.nextDouble();
      index.update(slot, index.group(slot), EndpointState.SERVING, size, 0, COLD_MS, 0);
    }
    index.update(slot, index.group(slot), EndpointState.SERVING, 0.2, 0, COLD_MS, 0);
    assertEquals(0.6, index.meanWeight());
  }
}
