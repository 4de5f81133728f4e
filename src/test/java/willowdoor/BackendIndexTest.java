package willowdoor;

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
import willowdoor.GatewayApi.BackendEntry;
import willowdoor.GatewayApi.Phase;
import willowdoor.GatewayApi.Roster;
import willowdoor.GatewayApi.RosterForm;
import willowdoor.GatewayApi.Send;
import willowdoor.GatewayApi.Status;
import willowdoor.GatewayApi.WakeAt;
import willowdoor.GatewayApi.Woken;

/** The index against plain lists that are made anew of all backends for each question. */
class BackendIndexTest {

  private static final double COLD_MS = 5_000;

  /** Filters, sorts and sums all backends each time, as a plain program would. */
  private static final class PlainIndex extends BackendIndex {
    PlainIndex(long gateway) {
      super(gateway);
    }

    @Override
    int find(long id) {
      return slots(slot -> id(slot) == id).findFirst().orElse(NONE);
    }

    @Override
    SortedSlots serving() {
      return sorted(slot -> true, this::id);
    }

    @Override
    SortedSlots ranked() {
      return sorted(slot -> true, slot -> GatewayState.rank(id(slot), gateway()));
    }

    @Override
    SortedSlots inZone(String zone) {
      return sorted(slot -> groups.get(group(slot)).startsWith(zone + "/"), this::id);
    }

    @Override
    SortedSlots inCell(String zone, int cell) {
      return sorted(slot -> groups.get(group(slot)).equals(zone + "/" + cell), this::id);
    }

    @Override
    double meanSize() {
      SortedSlots serving = serving();
      return IntStream.range(0, serving.size())
          .mapToDouble(i -> size(serving.get(i)))
          .average()
          .orElse(1);
    }

    @Override
    int warm(double coldMs, double now) {
      return (int) serve().filter(slot -> !cold(slot, coldMs, now)).count();
    }

    @Override
    int group(String zone, int cell) {
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
      return slots(slot -> phase(slot) == Phase.SERVING);
    }

    private SortedSlots sorted(IntPredicate among, SortedSlots.Key order) {
      SortedSlots sorted = new SortedSlots(order);
      serve().filter(among).forEach(sorted::add);
      return sorted;
    }
  }

  private static List<String> play(long seed, int gateways, int backends, BackendIndex index) {
    List<String> actions = new ArrayList<>();
    new RandomEvents(
            seed,
            gateways,
            backends,
            settings -> new QuotaPolicy(settings, seed, index),
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
      List<String> quick = play(seed, sizes[seed][0], sizes[seed][1], new BackendIndex(1));
      assertEquals(plain, quick);
      assertTrue(plain.stream().filter(line -> line.contains("Send[")).count() > 500);
    }
  }

  private static Set<Long> members(BackendIndex index, int many) {
    Set<Long> members = new HashSet<>();
    for (int i = 0; i < many; i++) {
      members.add(index.id(index.ranked().get(i)));
    }
    return members;
  }

  private static void serve(BackendIndex index, long id) {
    index.set(
        index.add(id, index.group("a", 0)), index.group("a", 0), Phase.SERVING, 1, 0, COLD_MS, 0);
  }

  /** Of the backends that come first in a gateway's order, one that is replaced moves one. */
  @Test
  void aReplacedBackendMovesOneMemberAtMost() {
    BackendIndex index = new BackendIndex(4);
    SplittableRandom random = new SplittableRandom(5);
    for (long id = 0; id < 1_000; id++) {
      serve(index, id);
    }
    for (int round = 0; round < 500; round++) {
      Set<Long> before = members(index, 100);
      int slot = index.serving().get(random.nextInt(index.serving().size()));
      index.set(slot, index.group(slot), Phase.REMOVED, 1, 0, COLD_MS, 0);
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
    Fixtures gateway = new Fixtures(Fixtures.settings(true, 2_000, false)).backends(length);
    assertEquals(0, gateway.policy.fullStates());
    for (int i = 0; i < 4 * length; i++) {
      gateway.pass(1).request("safe", "free", 1);
      if (gateway.did(Send.class)) {
        gateway.outcome(gateway.only(Send.class), 0, Status.REJECTED, true);
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
    Fixtures gateway = new Fixtures(Fixtures.settings(true, 2_000, false));
    List<BackendEntry> entries = new ArrayList<>();
    for (int i = 0; i < 30_000; i++) {
      entries.add(new BackendEntry(i, "a", 0, Phase.SERVING, 1, gateway.now));
    }
    gateway.on(new Roster(RosterForm.COMPLETE, entries));
    assertTrue(gateway.policy.fullStates() < 5_000, gateway.policy.fullStates() + " kept");
    int sent = 0;
    for (int i = 0; i < 1_000; i++) {
      gateway.request("safe", "free", 1);
      sent += gateway.did(Send.class) ? 1 : 0;
    }
    assertEquals(0, sent, "sent to backends that have just started");
  }

  private static List<BackendEntry> entries(int from, int to, Phase phase) {
    List<BackendEntry> entries = new ArrayList<>();
    for (int i = from; i < to; i++) {
      entries.add(new BackendEntry(i, "a", i % 7, phase, 1, 0, i + 1));
    }
    return entries;
  }

  private static Set<Long> listed(Fixtures gateway, int most) {
    Set<Long> listed = new HashSet<>();
    for (long id = 0; id < most; id++) {
      if (gateway.policy.listing().place(id) == id + 1) {
        listed.add(id);
      }
    }
    return listed;
  }

  private static long backendOfNextRequest(Fixtures gateway) {
    gateway.request("safe", "free", 1);
    Send send = gateway.only(Send.class);
    gateway.outcome(send, 0, Status.OK, true);
    return send.backend();
  }

  /**
   * A whole list in pieces leaves those that none of them named, and one that is cut leaves all.
   */
  @Test
  void onlyAWholeListTellsWhoHasLeft() {
    Fixtures gateway = new Fixtures(Fixtures.settings(true, 2, false));
    gateway.on(new Roster(RosterForm.COMPLETE, entries(0, 4, Phase.SERVING)));
    gateway.on(new Roster(RosterForm.PART, entries(0, 2, Phase.SERVING)));
    gateway.on(new Roster(RosterForm.CHANGES, List.of()));
    gateway.on(new Roster(RosterForm.PART, entries(0, 1, Phase.SERVING)));
    assertEquals(Set.of(0L, 1L, 2L, 3L), listed(gateway, 5));
    gateway.on(new Roster(RosterForm.COMPLETE, entries(2, 3, Phase.SERVING)));
    assertEquals(Set.of(0L, 2L), listed(gateway, 5));
    for (int i = 0; i < 50; i++) {
      assertTrue(Set.of(0L, 2L).contains(backendOfNextRequest(gateway)));
    }
  }

  /** A piece that drains backends holds at once, whatever the rest of its list is. */
  @Test
  void aDrainHoldsFromItsPieceOn() {
    Fixtures gateway = Fixtures.counted();
    gateway.on(new Roster(RosterForm.PART, entries(0, 3, Phase.DRAINING)));
    for (int i = 0; i < 50; i++) {
      assertEquals(3, backendOfNextRequest(gateway));
    }
  }

  /** Thousands that left with one list get nothing from then on, and are removed by and by. */
  @Test
  void manyThatLeaveAtOnceGetNothingMoreThoughTheyAreRemovedInSlices() {
    Fixtures gateway = new Fixtures(Fixtures.settings(true, 2, false));
    gateway.on(new Roster(RosterForm.COMPLETE, entries(0, 10_500, Phase.SERVING)));
    gateway.on(new Roster(RosterForm.COMPLETE, entries(10_499, 10_503, Phase.SERVING)));
    int slices = 0;
    while (gateway.did(WakeAt.class)) {
      slices++;
      assertEquals(BackendEntry.NOWHERE, gateway.policy.listing().place(3));
      for (int i = 0; i < 3; i++) {
        gateway.request("safe", "free", 1);
        if (gateway.did(Send.class)) {
          Send send = gateway.only(Send.class);
          boolean toldAgain = send.backend() == 10_400 && slices > 10;
          assertTrue(
              send.backend() >= 10_499 || toldAgain,
              "sent to " + send.backend() + ", which has left");
          gateway.outcome(send, 0, Status.OK, true);
        }
      }
      // One that is told of again while others are removed stays.
      if (slices == 10) {
        gateway.on(new Roster(RosterForm.CHANGES, entries(10_400, 10_401, Phase.SERVING)));
      }
      gateway.pass(1).on(new Woken("sweep"));
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
    BackendIndex index = new BackendIndex(4);
    SplittableRandom random = new SplittableRandom(6);
    serve(index, 1);
    serve(index, 2);
    int slot = index.find(2);
    for (int i = 0; i < 100_000; i++) {
      double size = Math.pow(10, random.nextInt(-6, 9)) * random.nextDouble();
      index.set(slot, index.group(slot), Phase.SERVING, size, 0, COLD_MS, 0);
    }
    index.set(slot, index.group(slot), Phase.SERVING, 0.2, 0, COLD_MS, 0);
    assertEquals(0.6, index.meanSize());
  }
}
