package quotagateway.policy.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import quotagateway.endpoint.Endpoint;
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
}
