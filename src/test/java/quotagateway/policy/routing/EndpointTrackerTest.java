package quotagateway.policy.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import quotagateway.endpoint.Endpoint;
import quotagateway.endpoint.EndpointIndex;
import quotagateway.endpoint.EndpointListForm;
import quotagateway.endpoint.EndpointState;
import quotagateway.policy.PolicyFixture;
import quotagateway.policy.action.ScheduleTimer;
import quotagateway.policy.action.StartAttempt;
import quotagateway.policy.action.Timer;
import quotagateway.policy.event.EndpointsUpdated;
import quotagateway.policy.event.Status;
import quotagateway.policy.event.TimerFired;

/** Follows endpoint lists of all forms and lengths, through the events of a whole policy. */
class EndpointTrackerTest {

  // A full status of each endpoint of a long list would take more memory than a gateway has.
  @Test
  void keepsTheFullStatusOfFewBackendsOfALongList() {
    int length = 30_000;
    PolicyFixture gateway =
        new PolicyFixture(PolicyFixture.settings(true, 2_000, false)).backends(length);
    assertEquals(0, gateway.policy.trackedBackends());
    for (int i = 0; i < 4 * length; i++) {
      gateway.pass(1).request("safe", "free", 1);
      if (gateway.did(StartAttempt.class)) {
        gateway.outcome(gateway.only(StartAttempt.class), 0, Status.REJECTED, true);
      }
    }
    assertTrue(gateway.policy.trackedBackends() > 1_000, gateway.policy.trackedBackends() + " met");
    assertTrue(
        gateway.policy.trackedBackends() < 10_000, gateway.policy.trackedBackends() + " kept");
  }

  // After a fleet-wide restart all backends warm up: those beyond the statuses that are kept must
  // not be taken for warm.
  @Test
  void keepsTheFullStatusOfFewBackendsOfALongListThatWarmsUp() {
    PolicyFixture gateway = new PolicyFixture(PolicyFixture.settings(true, 2_000, false));
    List<Endpoint> entries = new ArrayList<>();
    for (int i = 0; i < 30_000; i++) {
      entries.add(new Endpoint(i, "a", 0, EndpointState.SERVING, 1, gateway.now));
    }
    gateway.on(new EndpointsUpdated(EndpointListForm.SNAPSHOT, entries));
    assertTrue(
        gateway.policy.trackedBackends() < 5_000, gateway.policy.trackedBackends() + " kept");
    int sent = 0;
    for (int i = 0; i < 1_000; i++) {
      gateway.request("safe", "free", 1);
      sent += gateway.did(StartAttempt.class) ? 1 : 0;
    }
    assertEquals(0, sent, "sent to backends that have just started");
  }

  private static List<Endpoint> entries(int from, int to, EndpointState state) {
    List<Endpoint> entries = new ArrayList<>();
    for (int i = from; i < to; i++) {
      entries.add(new Endpoint(i, "a", i % 7, state, 1, 0, i + 1));
    }
    return entries;
  }

  private static Set<Long> listed(PolicyFixture gateway, int most) {
    Set<Long> listed = new HashSet<>();
    for (long id = 0; id < most; id++) {
      if (gateway.policy.servingEndpoints().address(id) == id + 1) {
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

  // A snapshot comes in fragments. One that breaks off has not named all endpoints, and must not
  // remove the others; a whole one removes those that no fragment of it named.
  @Test
  void removesEndpointsOnlyAfterAWholeSnapshot() {
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

  // A backend that drains must get nothing more, however long the rest of the snapshot takes.
  @Test
  void appliesADrainFromItsFragmentOn() {
    PolicyFixture gateway = PolicyFixture.counted();
    gateway.on(
        new EndpointsUpdated(EndpointListForm.FRAGMENT, entries(0, 3, EndpointState.DRAINING)));
    for (int i = 0; i < 50; i++) {
      assertEquals(3, backendOfNextRequest(gateway));
    }
  }

  // Thousands leave with one snapshot. Removing them takes many slices, between which requests are
  // served: none of them may go to an endpoint that is still to be removed.
  @Test
  void sendsNothingToEndpointsThatLeftThoughTheyAreRemovedInSlices() {
    PolicyFixture gateway = new PolicyFixture(PolicyFixture.settings(true, 2, false));
    gateway.on(
        new EndpointsUpdated(EndpointListForm.SNAPSHOT, entries(0, 10_500, EndpointState.SERVING)));
    gateway.on(
        new EndpointsUpdated(
            EndpointListForm.SNAPSHOT, entries(10_499, 10_503, EndpointState.SERVING)));
    int slices = 0;
    while (gateway.did(ScheduleTimer.class)) {
      slices++;
      assertEquals(Endpoint.NO_ADDRESS, gateway.policy.servingEndpoints().address(3));
      for (int i = 0; i < 3; i++) {
        gateway.request("safe", "free", 1);
        if (gateway.did(StartAttempt.class)) {
          StartAttempt send = gateway.only(StartAttempt.class);
          boolean listedAgain = send.endpointId() == 10_400 && slices > 10;
          assertTrue(
              send.endpointId() >= 10_499 || listedAgain,
              "sent to " + send.endpointId() + ", which has left");
          gateway.outcome(send, 0, Status.OK, true);
        }
      }
      // One that is listed again while others are removed stays.
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

  private static void update(RoutingFixture fixture, EndpointListForm form, Endpoint... endpoints) {
    fixture.tracker.update(new EndpointsUpdated(form, List.of(endpoints)));
  }

  private static Endpoint endpoint(int id, String zone, EndpointState state, double weight) {
    return new Endpoint(id, zone, id, state, weight, 0);
  }

  @Test
  void asksForTheListAgainASecondAfterItCouldNotBeHad() {
    RoutingFixture fixture = RoutingFixture.of(2, 4);
    fixture.pass(0);
    update(fixture, EndpointListForm.FAILED);
    assertEquals(
        List.of(new ScheduleTimer(RoutingFixture.START_MS + 1_000, Timer.ENDPOINT_WATCH)),
        fixture.context.actions());
  }

  @Test
  void schedulesOneSweepAtATimeAMillisecondAhead() {
    RoutingFixture fixture = RoutingFixture.of(2, 1_000);
    fixture.pass(0);
    update(fixture, EndpointListForm.SNAPSHOT);
    update(fixture, EndpointListForm.DELTA);
    assertEquals(
        List.of(new ScheduleTimer(RoutingFixture.START_MS + 1, Timer.ENDPOINT_SWEEP)),
        fixture.context.actions());
    assertEquals(600, fixture.index.serving().size());
  }

  @Test
  void removesWhatACachedSnapshotDoesNotName() {
    RoutingFixture fixture = RoutingFixture.of(2, 4);
    update(fixture, EndpointListForm.CACHED_SNAPSHOT, RoutingFixture.endpoint(1, 0));
    assertEquals(1, fixture.index.serving().size());
  }

  // Its process is the same one: a start that was noticed here, and the list has not, still holds.
  @Test
  void keepsAnAssumedStartThatTheListDoesNotTell() {
    RoutingFixture fixture = RoutingFixture.of(2, 4);
    BackendStatus backend = fixture.backend(1);
    fixture.tracker.assumeStarted(backend, RoutingFixture.START_MS);
    update(fixture, EndpointListForm.DELTA, RoutingFixture.endpoint(1, 0));
    assertEquals(RoutingFixture.START_MS, fixture.index.assumedStartMs(backend.slot));
    assertEquals(backend, fixture.backend(1));
  }

  @Test
  void ignoresWeightsThatDoNotMeanCapacity() {
    RoutingFixture fixture = RoutingFixture.of(2, 4);
    update(fixture, EndpointListForm.DELTA, endpoint(1, "b", EndpointState.SERVING, 7));
    assertEquals(1, fixture.index.weight(fixture.backend(1).slot));
  }

  @Test
  void movesABackendToTheZoneThatTheListTells() {
    RoutingFixture fixture = RoutingFixture.of(2, 4);
    BackendStatus backend = fixture.backend(1);
    update(fixture, EndpointListForm.DELTA, endpoint(1, "a", EndpointState.SERVING, 1));
    assertEquals("a", backend.zone);
    assertEquals(fixture.backend(0).zoneReachability, backend.zoneReachability);
  }

  // What an outstanding attempt comes to is still learned, and must not be booked to another one.
  @Test
  void keepsTheSlotOfARemovedBackendWhileAnAttemptIsOutstanding() {
    RoutingFixture fixture = RoutingFixture.of(2, 4);
    BackendStatus backend = fixture.backend(1);
    AttemptRecord attempt = fixture.attemptAt(backend);
    update(fixture, EndpointListForm.DELTA, endpoint(1, "b", EndpointState.REMOVED, 1));
    assertTrue(fixture.index.isUsed(backend.slot));
    backend.outstanding.remove(attempt);
    update(fixture, EndpointListForm.DELTA);
    assertEquals(EndpointIndex.NONE, fixture.index.find(1));
    assertEquals(0, fixture.tracker.statusCount());
  }

  // A backend that is met for the first time was listed all along: it has not answered just now.
  @Test
  void takesABackendMetLateForUnheardSinceTheStart() {
    RoutingFixture fixture = RoutingFixture.of(2, 4);
    fixture.pass(60_000);
    assertEquals(RoutingFixture.START_MS, fixture.backend(1).lastResponseAtMs);
  }

  /** Of a list of 20,000 with 4,000 statuses kept, those beyond the subset that can be dropped. */
  @Test
  void dropsOnlyStatusesThatTellNothingAnyMore() {
    RoutingFixture fixture = RoutingFixture.of(20_000, 20_000);
    int subsetSize = fixture.tracker.subsetSize();
    for (int i = 0; i < subsetSize + 4_000; i++) {
      fixture.tracker.status(fixture.index.ranked().get(i));
    }
    BackendStatus inSubset = fixture.tracker.status(fixture.index.ranked().get(0));
    BackendStatus busy = fixture.tracker.status(fixture.index.ranked().get(subsetSize));
    BackendStatus ejected = fixture.tracker.status(fixture.index.ranked().get(subsetSize + 1));
    BackendStatus restarted = fixture.tracker.status(fixture.index.ranked().get(subsetSize + 2));
    BackendStatus answered = fixture.tracker.status(fixture.index.ranked().get(subsetSize + 3));
    fixture.attemptAt(busy);
    fixture.tracker.assumeStarted(restarted, RoutingFixture.START_MS);
    fixture.pass(30_000);
    ejected.ejectedUntilMs = fixture.context.nowMs() - 9_000;
    answered.lastResponseAtMs = fixture.context.nowMs() - 1_000;
    fixture.tracker.status(fixture.index.ranked().get(subsetSize + 4_000));
    assertEquals(subsetSize + 4 + 1, fixture.tracker.statusCount());
    for (BackendStatus kept : List.of(inSubset, busy, ejected, restarted, answered)) {
      assertEquals(kept, fixture.tracker.status(kept.slot));
    }
  }
}
