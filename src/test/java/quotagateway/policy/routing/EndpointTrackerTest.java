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

/** Tests the handling of endpoint lists of all forms and lengths, partly through a whole policy. */
class EndpointTrackerTest {

  // Keeping a status for each endpoint of a long list would exceed a gateway's memory.
  @Test
  void limitsNumberOfStatusesForLongList() {
    int length = 30_000;
    PolicyFixture gateway =
        new PolicyFixture(PolicyFixture.settings(true, 2_000, false)).updateBackends(length);
    assertEquals(0, gateway.policy.trackedBackends());
    for (int i = 0; i < 4 * length; i++) {
      gateway.advanceClock(1).request("safe", "free", 1);
      if (gateway.hasAction(StartAttempt.class)) {
        gateway.endAttempt(gateway.lastActionOfType(StartAttempt.class), 0, Status.REJECTED, true);
      }
    }
    assertTrue(
        gateway.policy.trackedBackends() > 1_000, gateway.policy.trackedBackends() + " statuses");
    assertTrue(
        gateway.policy.trackedBackends() < 10_000, gateway.policy.trackedBackends() + " kept");
  }

  // After a restart of the entire fleet, all backends are warming up. Those without a status, due
  // to the limit of statuses, must not be treated as warm.
  @Test
  void limitsNumberOfStatusesForLongListOfWarmingUpBackends() {
    PolicyFixture gateway = new PolicyFixture(PolicyFixture.settings(true, 2_000, false));
    List<Endpoint> entries = new ArrayList<>();
    for (int i = 0; i < 30_000; i++) {
      entries.add(new Endpoint(i, "a", 0, EndpointState.SERVING, 1, gateway.now));
    }
    gateway.on(new EndpointsUpdated(EndpointListForm.SNAPSHOT, entries));
    assertTrue(
        gateway.policy.trackedBackends() < 5_000, gateway.policy.trackedBackends() + " kept");
    int startedAttempts = 0;
    for (int i = 0; i < 1_000; i++) {
      gateway.request("safe", "free", 1);
      startedAttempts += gateway.hasAction(StartAttempt.class) ? 1 : 0;
    }
    assertEquals(0, startedAttempts, "attempts at backends that have just started");
  }

  private static List<Endpoint> entries(int from, int to, EndpointState state) {
    List<Endpoint> entries = new ArrayList<>();
    for (int i = from; i < to; i++) {
      entries.add(new Endpoint(i, "a", i % 7, state, 1, 0, i + 1));
    }
    return entries;
  }

  private static Set<Long> servingEndpoints(PolicyFixture gateway, int idLimit) {
    Set<Long> ids = new HashSet<>();
    for (long id = 0; id < idLimit; id++) {
      if (gateway.policy.servingEndpoints().address(id) == id + 1) {
        ids.add(id);
      }
    }
    return ids;
  }

  private static long sendRequestAndGetBackend(PolicyFixture gateway) {
    gateway.request("safe", "free", 1);
    StartAttempt attempt = gateway.lastActionOfType(StartAttempt.class);
    gateway.endAttempt(attempt, 0, Status.OK, true);
    return attempt.endpointId();
  }

  // An interrupted snapshot does not contain all endpoints and must not remove the others. A
  // complete snapshot removes the endpoints that none of its fragments contains.
  @Test
  void removesEndpointsOnlyAfterCompleteSnapshot() {
    PolicyFixture gateway = new PolicyFixture(PolicyFixture.settings(true, 2, false));
    gateway.on(
        new EndpointsUpdated(EndpointListForm.SNAPSHOT, entries(0, 4, EndpointState.SERVING)));
    gateway.on(
        new EndpointsUpdated(EndpointListForm.FRAGMENT, entries(0, 2, EndpointState.SERVING)));
    gateway.on(new EndpointsUpdated(EndpointListForm.DELTA, List.of()));
    gateway.on(
        new EndpointsUpdated(EndpointListForm.FRAGMENT, entries(0, 1, EndpointState.SERVING)));
    assertEquals(Set.of(0L, 1L, 2L, 3L), servingEndpoints(gateway, 5));
    gateway.on(
        new EndpointsUpdated(EndpointListForm.SNAPSHOT, entries(2, 3, EndpointState.SERVING)));
    assertEquals(Set.of(0L, 2L), servingEndpoints(gateway, 5));
    for (int i = 0; i < 50; i++) {
      assertTrue(Set.of(0L, 2L).contains(sendRequestAndGetBackend(gateway)));
    }
  }

  // A draining backend must not get new requests while the rest of the snapshot is being received.
  @Test
  void appliesDrainingStateOfFragmentAtOnce() {
    PolicyFixture gateway = PolicyFixture.withCounterAndBackends();
    gateway.on(
        new EndpointsUpdated(EndpointListForm.FRAGMENT, entries(0, 3, EndpointState.DRAINING)));
    for (int i = 0; i < 50; i++) {
      assertEquals(3, sendRequestAndGetBackend(gateway));
    }
  }

  // Removing thousands of endpoints takes many sweeps, between which requests are served. None of
  // the requests may go to an endpoint that waits for its removal.
  @Test
  void sendsNoRequestToUnlistedEndpointsBetweenSweeps() {
    PolicyFixture gateway = new PolicyFixture(PolicyFixture.settings(true, 2, false));
    gateway.on(
        new EndpointsUpdated(EndpointListForm.SNAPSHOT, entries(0, 10_500, EndpointState.SERVING)));
    gateway.on(
        new EndpointsUpdated(
            EndpointListForm.SNAPSHOT, entries(10_499, 10_503, EndpointState.SERVING)));
    int sweeps = 0;
    while (gateway.hasAction(ScheduleTimer.class)) {
      sweeps++;
      assertEquals(Endpoint.NO_ADDRESS, gateway.policy.servingEndpoints().address(3));
      for (int i = 0; i < 3; i++) {
        gateway.request("safe", "free", 1);
        if (gateway.hasAction(StartAttempt.class)) {
          StartAttempt attempt = gateway.lastActionOfType(StartAttempt.class);
          boolean listedAgain = attempt.endpointId() == 10_400 && sweeps > 10;
          assertTrue(
              attempt.endpointId() >= 10_499 || listedAgain,
              "sent to " + attempt.endpointId() + ", which is no longer listed");
          gateway.endAttempt(attempt, 0, Status.OK, true);
        }
      }
      // An endpoint that is listed again during the removal stays.
      if (sweeps == 10) {
        gateway.on(
            new EndpointsUpdated(
                EndpointListForm.DELTA, entries(10_400, 10_401, EndpointState.SERVING)));
      }
      gateway.advanceClock(1).on(new TimerFired(Timer.ENDPOINT_SWEEP));
    }
    assertTrue(sweeps > 10, sweeps + " sweeps");
    assertEquals(
        Set.of(10_400L, 10_499L, 10_500L, 10_501L, 10_502L), servingEndpoints(gateway, 10_600));
  }

  private static void update(RoutingFixture fixture, EndpointListForm form, Endpoint... endpoints) {
    fixture.tracker.update(new EndpointsUpdated(form, List.of(endpoints)));
  }

  private static Endpoint endpoint(int id, String zone, EndpointState state, double weight) {
    return new Endpoint(id, zone, id, state, weight, 0);
  }

  @Test
  void retriesEndpointWatchOneSecondAfterFailure() {
    RoutingFixture fixture = RoutingFixture.of(2, 4);
    fixture.advanceMs(0);
    update(fixture, EndpointListForm.FAILED);
    assertEquals(
        List.of(new ScheduleTimer(RoutingFixture.START_MS + 1_000, Timer.ENDPOINT_WATCH)),
        fixture.context.actions());
  }

  @Test
  void schedulesOneSweepAtATimeAfterOneMillisecond() {
    RoutingFixture fixture = RoutingFixture.of(2, 1_000);
    fixture.advanceMs(0);
    update(fixture, EndpointListForm.SNAPSHOT);
    update(fixture, EndpointListForm.DELTA);
    assertEquals(
        List.of(new ScheduleTimer(RoutingFixture.START_MS + 1, Timer.ENDPOINT_SWEEP)),
        fixture.context.actions());
    assertEquals(600, fixture.index.serving().size());
  }

  @Test
  void removesEndpointsMissingFromCachedSnapshot() {
    RoutingFixture fixture = RoutingFixture.of(2, 4);
    update(fixture, EndpointListForm.CACHED_SNAPSHOT, RoutingFixture.endpoint(1, 0));
    assertEquals(1, fixture.index.serving().size());
  }

  // The process is the same, so a start time that only this gateway assumes still applies.
  @Test
  void keepsAssumedStartTimeIfListedStartTimeIsUnchanged() {
    RoutingFixture fixture = RoutingFixture.of(2, 4);
    BackendStatus backend = fixture.backend(1);
    fixture.tracker.assumeStarted(backend, RoutingFixture.START_MS);
    update(fixture, EndpointListForm.DELTA, RoutingFixture.endpoint(1, 0));
    assertEquals(RoutingFixture.START_MS, fixture.index.assumedStartMs(backend.slot));
    assertEquals(backend, fixture.backend(1));
  }

  @Test
  void ignoresListedWeightsIfSettingsDoNotUseThem() {
    RoutingFixture fixture = RoutingFixture.of(2, 4);
    update(fixture, EndpointListForm.DELTA, endpoint(1, "b", EndpointState.SERVING, 7));
    assertEquals(1, fixture.index.weight(fixture.backend(1).slot));
  }

  @Test
  void movesBackendToListedZone() {
    RoutingFixture fixture = RoutingFixture.of(2, 4);
    BackendStatus backend = fixture.backend(1);
    update(fixture, EndpointListForm.DELTA, endpoint(1, "a", EndpointState.SERVING, 1));
    assertEquals("a", backend.zone);
    assertEquals(fixture.backend(0).zoneReachability, backend.zoneReachability);
  }

  // The outcome of an outstanding attempt is still recorded, and must not count for another
  // backend.
  @Test
  void keepsSlotOfRemovedBackendWhileAttemptIsOutstanding() {
    RoutingFixture fixture = RoutingFixture.of(2, 4);
    BackendStatus backend = fixture.backend(1);
    AttemptRecord attempt = fixture.startAttemptAt(backend);
    update(fixture, EndpointListForm.DELTA, endpoint(1, "b", EndpointState.REMOVED, 1));
    assertTrue(fixture.index.isUsed(backend.slot));
    backend.outstandingAttempts.remove(attempt);
    update(fixture, EndpointListForm.DELTA);
    assertEquals(EndpointIndex.NONE, fixture.index.find(1));
    assertEquals(0, fixture.tracker.statusCount());
  }

  // A backend that is first considered long after the start has been listed since, without a
  // response.
  @Test
  void setsLastResponseOfNewStatusToStartOfGateway() {
    RoutingFixture fixture = RoutingFixture.of(2, 4);
    fixture.advanceMs(60_000);
    assertEquals(RoutingFixture.START_MS, fixture.backend(1).lastResponseAtMs);
  }

  // The list has 20,000 endpoints; 4,000 statuses outside the subset may be kept.
  @Test
  void evictsOnlyStatusesWithoutRelevantState() {
    RoutingFixture fixture = RoutingFixture.of(20_000, 20_000);
    int subsetSize = fixture.tracker.subsetSize();
    for (int i = 0; i < subsetSize + 4_000; i++) {
      fixture.tracker.getOrCreateStatus(fixture.index.ranked().get(i));
    }
    BackendStatus inSubset = fixture.tracker.getOrCreateStatus(fixture.index.ranked().get(0));
    BackendStatus busy = fixture.tracker.getOrCreateStatus(fixture.index.ranked().get(subsetSize));
    BackendStatus ejected =
        fixture.tracker.getOrCreateStatus(fixture.index.ranked().get(subsetSize + 1));
    BackendStatus restarted =
        fixture.tracker.getOrCreateStatus(fixture.index.ranked().get(subsetSize + 2));
    BackendStatus answered =
        fixture.tracker.getOrCreateStatus(fixture.index.ranked().get(subsetSize + 3));
    fixture.startAttemptAt(busy);
    fixture.tracker.assumeStarted(restarted, RoutingFixture.START_MS);
    fixture.advanceMs(30_000);
    ejected.ejectedUntilMs = fixture.context.nowMs() - 9_000;
    answered.lastResponseAtMs = fixture.context.nowMs() - 1_000;
    fixture.tracker.getOrCreateStatus(fixture.index.ranked().get(subsetSize + 4_000));
    assertEquals(subsetSize + 4 + 1, fixture.tracker.statusCount());
    for (BackendStatus kept : List.of(inSubset, busy, ejected, restarted, answered)) {
      assertEquals(kept, fixture.tracker.getOrCreateStatus(kept.slot));
    }
  }
}
