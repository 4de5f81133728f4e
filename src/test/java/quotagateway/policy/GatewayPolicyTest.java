package quotagateway.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import quotagateway.endpoint.Endpoint;
import quotagateway.endpoint.EndpointListForm;
import quotagateway.endpoint.EndpointState;
import quotagateway.policy.action.CancelAttempt;
import quotagateway.policy.action.FailRequest;
import quotagateway.policy.action.IncrementCounter;
import quotagateway.policy.action.RejectRequest;
import quotagateway.policy.action.StartAttempt;
import quotagateway.policy.action.Timer;
import quotagateway.policy.action.WatchEndpoints;
import quotagateway.policy.event.AttemptEnded;
import quotagateway.policy.event.ClientDisconnected;
import quotagateway.policy.event.CounterReplied;
import quotagateway.policy.event.EndpointsUpdated;
import quotagateway.policy.event.Event;
import quotagateway.policy.event.RequestBodyComplete;
import quotagateway.policy.event.RequestReceived;
import quotagateway.policy.event.ResponseStarted;
import quotagateway.policy.event.SettingsChanged;
import quotagateway.policy.event.Status;
import quotagateway.policy.event.TimerFired;
import quotagateway.policy.settings.Capabilities;
import quotagateway.policy.settings.DeduplicationScope;
import quotagateway.policy.settings.Idempotency;
import quotagateway.policy.settings.PolicySettings;
import quotagateway.policy.settings.RequestClass;

/** The decisions of one gateway: from events to actions, in the order of a request. */
class GatewayPolicyTest {

  // Quota, with a counter that replies

  @Test
  void addsTheEstimateThenForwards() {
    PolicyFixture f = PolicyFixture.counted();
    f.request("safe", "rated", 3);
    assertEquals(3, f.only(IncrementCounter.class).amount());
    assertFalse(f.did(StartAttempt.class));
    f.total(3);
    assertTrue(f.did(StartAttempt.class));
  }

  @Test
  void rejectsWhatIsOverQuotaAndTakesItsUnitsOffTheCount() {
    PolicyFixture f = PolicyFixture.counted();
    f.request("safe", "rated", 3);
    f.total(200);
    assertTrue(f.did(RejectRequest.class));
    f.pass(500).request("safe", "rated", 1);
    assertEquals(
        -3, f.only(IncrementCounter.class).amount(), "only reads, and takes the rejected 3 off");
  }

  @Test
  void settlesTheChargedUnitsWithTheNextCall() {
    PolicyFixture f = PolicyFixture.counted();
    f.request("safe", "rated", 2);
    StartAttempt s = f.total(2).only(StartAttempt.class);
    f.on(new AttemptEnded(s.requestId(), 0, s.endpointId(), Status.OK, 50, true, 4, null));
    f.request("safe", "rated", 1);
    assertEquals(1 + 2, f.only(IncrementCounter.class).amount());
  }

  @Test
  void anExhaustedCustomerIsRejectedWithoutACall() {
    PolicyFixture f = PolicyFixture.counted();
    f.request("safe", "rated", 3);
    f.total(200);
    f.pass(10).request("safe", "rated", 3);
    assertTrue(f.did(RejectRequest.class));
    assertFalse(f.did(IncrementCounter.class));
  }

  @Test
  void twoBurstsAreNotAdmittedAtTheEdgeOfAWindow() {
    PolicyFixture f = PolicyFixture.counted();
    String first = null;
    int sent = 0;
    for (double total = 2; f.all.size() < 4000; total += 2) {
      f.pass(50).request("safe", "rated", 2);
      if (!f.did(IncrementCounter.class)) {
        continue;
      }
      String name = f.lastAdd().counterName();
      if (first != null && !name.equals(first)) {
        f.total(f.lastAdd().amount());
        assertTrue(f.did(RejectRequest.class), "a new window is not a new burst");
        return;
      }
      first = name;
      f.total(total);
      sent += f.did(StartAttempt.class) ? 1 : 0;
      if (f.did(StartAttempt.class)) {
        StartAttempt s = f.only(StartAttempt.class);
        f.outcome(s, 0, Status.OK, true);
      }
    }
    throw new AssertionError("no window edge met, sent " + sent);
  }

  /** A connection that breaks shows nothing of the counter, which still replies over another. */
  @Test
  void aCallThatBrokeWithItsConnectionIsReadAgain() {
    PolicyFixture f = PolicyFixture.counted();
    f.request("safe", "rated", 3);
    f.callFails(Status.RESET);
    assertEquals(
        0, f.only(IncrementCounter.class).amount(), "it may have been added, so it is only read");
    assertFalse(f.did(StartAttempt.class));
    f.total(0);
    assertTrue(f.did(StartAttempt.class));
    f.request("safe", "rated", 1);
    assertEquals(
        1 + 3,
        f.only(IncrementCounter.class).amount(),
        "the total shows that the 3 were not added");
  }

  @Test
  void whatABrokenCallHadAddedIsNotAddedAgain() {
    PolicyFixture f = PolicyFixture.counted();
    f.request("safe", "rated", 3);
    f.callFails(Status.RESET).total(3);
    assertTrue(f.did(StartAttempt.class));
    f.request("safe", "rated", 1);
    assertEquals(1, f.only(IncrementCounter.class).amount());
  }

  /**
   * Calling less would not help against connections that break, and leaves customers to the
   * replica.
   */
  @Test
  void brokenConnectionsDoNotReduceTheCallsToTheCounter() {
    PolicyFixture f = PolicyFixture.counted();
    for (int i = 0; i < 20; i++) {
      f.pass(100).request("safe", "broad", 1);
      assertTrue(f.did(IncrementCounter.class), "request " + i + " calls the counter");
      f.callFails(Status.RESET).total(i);
      f.outcome(f.only(StartAttempt.class), 0, Status.OK, true);
    }
  }

  /**
   * The backend works, but this response will not come: an attempt sent long after it has ended.
   */
  @Test
  void cancelsAnAttemptThatWasOvertakenAtAWorkingBackend() {
    PolicyFixture f = new PolicyFixture(PolicyFixture.settings(true, 2, false)).backends(1);
    String lost = f.request("safe", "free", 1);
    f.run(500);
    f.request("safe", "free", 1);
    f.outcome(f.only(StartAttempt.class), 0, Status.OK, true).run(200);
    assertFalse(f.did(CancelAttempt.class), "sent too soon after it to show anything");
    f.request("safe", "free", 1);
    f.outcome(f.only(StartAttempt.class), 0, Status.OK, true).run(25);
    assertEquals(lost, f.only(CancelAttempt.class).requestId());
  }

  @Test
  void plansWithoutRateNeedNoCall() {
    PolicyFixture f = PolicyFixture.counted();
    f.request("safe", "free", 3);
    assertTrue(f.did(StartAttempt.class));
    assertFalse(f.did(IncrementCounter.class));
  }

  @Test
  void concurrencyLimitIsSplitAmongTheGateways() {
    PolicyFixture f = PolicyFixture.counted();
    f.request("safe", "narrow", 1);
    assertTrue(f.did(StartAttempt.class));
    f.request("safe", "narrow", 1);
    assertTrue(
        f.only(RejectRequest.class).retryAfterMs() > 0,
        "advised to come back when one may have ended");
  }

  /**
   * A customer comes through more gateways than it has permits: each one is acquired in a shared
   * count, and released however the request ends.
   */
  @Test
  void aConcurrencyPermitIsReleasedHoweverARequestEnds() {
    PolicyFixture f = new PolicyFixture(PolicyFixture.settings(true, 5, false)).backends(4);
    requestWithPermit(f, "safe");
    f.total(2);
    f.outcome(f.only(StartAttempt.class), 0, Status.OK, true);
    assertEquals(-1, f.only(IncrementCounter.class).amount(), "served");
    f.total(0);
    requestWithPermit(f, "unsafe");
    f.total(1);
    f.outcome(f.only(StartAttempt.class), 0, Status.ERROR, false);
    assertTrue(f.did(FailRequest.class));
    assertEquals(-1, f.only(IncrementCounter.class).amount(), "failed");
    f.total(0);
    requestWithPermit(f, "safe");
    f.total(3);
    assertTrue(f.did(RejectRequest.class));
    assertEquals(
        -1, f.only(IncrementCounter.class).amount(), "rejected, as others have all permits");
    f.total(0);
    String left = requestWithPermit(f, "safe");
    f.on(new ClientDisconnected(left));
    assertFalse(f.did(IncrementCounter.class), "it is not known yet whether it was added");
    f.total(1);
    assertEquals(-1, f.only(IncrementCounter.class).amount(), "its client has disconnected");
    assertFalse(f.did(StartAttempt.class));
    f.total(0);
    String gone = requestWithPermit(f, "safe");
    f.on(new ClientDisconnected(gone)).callFails(Status.REJECTED);
    assertFalse(f.did(IncrementCounter.class), "nothing was added");
  }

  /** With many gateways, nearly every request is a customer's first one here for a long time. */
  @Test
  void aFirstRequestWhileTheCounterIsAwayGetsAPermit() {
    PolicyFixture f = new PolicyFixture(PolicyFixture.settings(true, 5, false)).backends(4);
    requestWithPermit(f, "safe");
    f.callFails(Status.REJECTED);
    assertTrue(f.did(StartAttempt.class));
    requestWithPermit(f, "safe");
    f.callFails(Status.REJECTED);
    assertTrue(f.did(RejectRequest.class), "this gateway's part of the limit is in use");
  }

  private static String requestWithPermit(PolicyFixture f, String className) {
    String id = "with permit at " + f.now;
    f.pass(1)
        .on(
            new RequestReceived(
                id, PolicyFixture.type(className), "narrow", 42, 5, 1, f.now + 4000));
    assertEquals(1, f.only(IncrementCounter.class).amount());
    assertFalse(f.did(StartAttempt.class));
    return id;
  }

  @Test
  void withoutACounterTheQuotaIsSplitEvenly() {
    PolicyFixture f = new PolicyFixture(PolicyFixture.settings(false, 2, false)).backends(4);
    f.request("safe", "rated", 4);
    assertTrue(f.did(StartAttempt.class));
    f.request("safe", "rated", 4);
    assertTrue(f.did(RejectRequest.class), "half of a burst of 10 holds one request of 4");
  }

  @Test
  void anUnknownPlanAndClassGetOneFinalResponse() {
    PolicyFixture f = PolicyFixture.counted();
    f.on(
        new RequestReceived(
            "x", PolicyFixture.type("no such class"), "no such plan", 9, 2, 1, f.now + 4000));
    StartAttempt s = f.total(1).only(StartAttempt.class);
    f.outcome(s, 0, Status.ERROR, false);
    assertTrue(f.did(FailRequest.class), "an unknown class may not execute twice");
  }

  // Quota, with a counter that fails

  @Test
  void aCallWithoutReplyIsDecidedByTheReplica() {
    PolicyFixture f = PolicyFixture.counted();
    f.request("safe", "rated", 3);
    f.callFails(Status.TIMED_OUT);
    assertTrue(f.did(StartAttempt.class));
  }

  @Test
  void aSilentCounterDelaysARequestNoLongerThanItsBound() {
    PolicyFixture f = PolicyFixture.counted();
    f.request("safe", "rated", 3);
    f.run(100);
    assertTrue(f.did(StartAttempt.class));
  }

  @Test
  void anAbsentCounterIsProbedRarelyAndUsedAgainSoon() {
    PolicyFixture f = PolicyFixture.counted();
    int calls = 0;
    for (int i = 0; i < 200; i++) {
      f.pass(20)
          .on(
              new RequestReceived(
                  "q" + i, PolicyFixture.type("safe"), "rated", 1000 + i, 2, 1, f.now + 4000));
      if (f.did(IncrementCounter.class)) {
        calls++;
        f.callFails(Status.CONNECT_FAILED);
      }
    }
    assertTrue(calls < 40, "calls while the counter is away: " + calls);
    int answered = 0;
    for (int i = 0; i < 200; i++) {
      f.pass(20)
          .on(
              new RequestReceived(
                  "p" + i, PolicyFixture.type("safe"), "rated", 5000 + i, 2, 1, f.now + 4000));
      if (f.did(IncrementCounter.class)) {
        answered++;
        f.total(1);
      }
    }
    assertTrue(answered > 100, "calls after its return: " + answered);
  }

  @Test
  void theUnitsOfAFailedCallThatAddedNothingGoWithTheNextCall() {
    PolicyFixture f = PolicyFixture.counted();
    f.request("safe", "rated", 3);
    f.callFails(Status.REJECTED);
    assertTrue(f.did(StartAttempt.class));
    f.request("safe", "rated", 1);
    assertEquals(4, f.only(IncrementCounter.class).amount());
  }

  @Test
  void theNextTotalShowsWhetherACallWithoutReplyWasAdded() {
    PolicyFixture added = PolicyFixture.counted();
    added.request("safe", "rated", 1);
    added.total(1);
    added.request("safe", "rated", 3);
    added.callFails(Status.TIMED_OUT);
    added.request("safe", "rated", 1);
    added.total(5);
    added.request("safe", "rated", 1);
    assertEquals(1, added.only(IncrementCounter.class).amount());

    PolicyFixture lost = PolicyFixture.counted();
    lost.request("safe", "rated", 1);
    lost.total(1);
    lost.request("safe", "rated", 3);
    lost.callFails(Status.TIMED_OUT);
    lost.request("safe", "rated", 1);
    lost.total(2);
    lost.request("safe", "rated", 1);
    assertEquals(1 + 3, lost.only(IncrementCounter.class).amount());
  }

  @Test
  void anEmptiedCounterIsNoFreshQuota() {
    PolicyFixture f = PolicyFixture.counted();
    f.request("safe", "rated", 1);
    f.total(200);
    f.pass(500).request("safe", "rated", 1);
    f.total(f.lastAdd().amount());
    assertTrue(f.did(RejectRequest.class));
  }

  @Test
  void aRequestWhoseClientDisconnectsWhileItWaitsIsNotForwarded() {
    PolicyFixture f = PolicyFixture.counted();
    String id = f.request("safe", "rated", 1);
    f.on(new ClientDisconnected(id));
    f.total(1);
    assertFalse(f.did(StartAttempt.class));
    f.request("safe", "rated", 2);
    assertEquals(2 - 1, f.only(IncrementCounter.class).amount(), "and its units are returned");
  }

  // Attempts

  @Test
  void aNonIdempotentRequestThatMayHaveExecutedFails() {
    PolicyFixture f = PolicyFixture.counted();
    f.request("unsafe", "free", 1);
    StartAttempt s = f.only(StartAttempt.class);
    f.outcome(s, 0, Status.RESET, false);
    assertTrue(f.did(FailRequest.class));
    assertFalse(f.did(StartAttempt.class));
  }

  @Test
  void aNonIdempotentRequestThatDidNotExecuteIsRetriedElsewhere() {
    PolicyFixture f = PolicyFixture.counted();
    f.request("unsafe", "free", 1);
    StartAttempt s = f.only(StartAttempt.class);
    f.outcome(s, 0, Status.CONNECT_FAILED, false);
    assertNotEquals(s.endpointId(), f.only(StartAttempt.class).endpointId());
  }

  @Test
  void aRetryOfWhatMayHaveExecutedHasToBeWrittenWithinItsWindow() {
    PolicyFixture f = PolicyFixture.counted();
    f.request("zone", "free", 1);
    StartAttempt first = f.only(StartAttempt.class);
    assertEquals(Double.POSITIVE_INFINITY, first.maxStartDelayMs());
    f.pass(500).outcome(first, 0, Status.CONNECT_FAILED, false);
    StartAttempt second = f.only(StartAttempt.class);
    assertEquals(
        Double.POSITIVE_INFINITY, second.maxStartDelayMs(), "nothing can have executed by now");
    f.pass(2000).outcome(second, 1, Status.ERROR, false);
    double left = 3000 - 2000;
    assertTrue(
        f.only(StartAttempt.class).maxStartDelayMs() > left - 50
            && f.only(StartAttempt.class).maxStartDelayMs() < left);
  }

  @Test
  void aRequestWithAnIdempotencyKeyIsRetriedWithinItsScopeAndWindow() {
    PolicyFixture f = PolicyFixture.counted();
    f.request("cell", "free", 1);
    StartAttempt s = f.only(StartAttempt.class);
    f.outcome(s, 0, Status.ERROR, false);
    if (f.did(StartAttempt.class)) {
      assertEquals(
          s.endpointId(),
          f.only(StartAttempt.class).endpointId(),
          "its cell has this backend alone");
    }
    f.request("zone", "free", 1);
    StartAttempt z = f.only(StartAttempt.class);
    f.outcome(z, 0, Status.ERROR, false);
    assertEquals(z.endpointId() % 2, f.only(StartAttempt.class).endpointId() % 2);
    StartAttempt again = f.only(StartAttempt.class);
    f.pass(3500).outcome(again, 1, Status.ERROR, false);
    assertFalse(f.did(StartAttempt.class), "its retries are no longer deduplicated");
    assertTrue(f.did(FailRequest.class), "and a rejection would promise too much");
  }

  @Test
  void everyRequestGetsAFinalResponseBeforeItsDeadline() {
    PolicyFixture f = new PolicyFixture(PolicyFixture.settings(true, 2, false));
    f.request("safe", "free", 1);
    assertFalse(f.did(StartAttempt.class), "no backend is known");
    f.run(1000);
    assertTrue(f.did(RejectRequest.class));
    f.on(new RequestReceived("short", PolicyFixture.type("safe"), "free", 1, 2, 1, f.now + 5));
    assertTrue(f.did(RejectRequest.class), "no time is left to look again");
  }

  @Test
  void anAttemptTimesOutBeforeTheDeadline() {
    PolicyFixture f = PolicyFixture.counted();
    f.request("safe", "free", 1);
    assertTrue(f.only(StartAttempt.class).timeoutMs() < 4000);
  }

  @Test
  void aStreamedResponseInProgressIsLeftAlone() {
    PolicyFixture f = PolicyFixture.counted();
    String id = f.request("stream", "free", 1);
    f.on(new ResponseStarted(id, 0)).run(6000);
    assertTrue(f.last.isEmpty(), f.last.toString());
  }

  @Test
  void anAttemptAtASilentBackendIsCancelledWhereTheClassAllows() {
    PolicyFixture f = PolicyFixture.counted();
    f.request("safe", "free", 1);
    StartAttempt s = f.only(StartAttempt.class);
    f.run(700);
    assertEquals(new CancelAttempt(s.requestId(), 0), f.only(CancelAttempt.class));
    f.outcome(s, 0, Status.CANCELLED, false);
    assertNotEquals(s.endpointId(), f.only(StartAttempt.class).endpointId());
  }

  /** An event of a kind that was added to the sealed type, but not here, would be thrown back. */
  @Test
  void everyKindOfEventIsHandled() {
    PolicyFixture f = PolicyFixture.counted();
    List<Event> oneOfEach =
        List.of(
            new RequestReceived("r", PolicyFixture.type("safe"), "free", 1, 2, 1, f.now + 4000),
            new RequestBodyComplete("r", f.now + 4000),
            new CounterReplied("nothing", Status.OK, 5, 1),
            new ResponseStarted("r", 0),
            new AttemptEnded("r", 0, 1, Status.OK, 5, true, 0, null),
            new ClientDisconnected("r"),
            new EndpointsUpdated(EndpointListForm.DELTA, List.of()),
            new TimerFired(Timer.REQUEST_CHECK),
            new SettingsChanged(PolicyFixture.settings(true, 2, false)));
    Set<Class<?>> kinds = new HashSet<>();
    for (Event event : oneOfEach) {
      f.on(event);
      kinds.add(event.getClass());
    }
    assertEquals(Set.of(Event.class.getPermittedSubclasses()), kinds);
  }

  @Test
  void eventsForWhatIsOverAreIgnored() {
    PolicyFixture f = PolicyFixture.counted();
    f.on(new AttemptEnded("nobody", 0, 1, Status.OK, 5, true, 0, null));
    f.on(new CounterReplied("nothing", Status.OK, 5, 1));
    f.on(new ClientDisconnected("nobody"));
    f.on(new TimerFired(Timer.REQUEST_CHECK));
    assertTrue(f.last.isEmpty());
  }

  // Backends

  @Test
  void drainingAndRemovedBackendsGetNothingNew() {
    PolicyFixture f = PolicyFixture.counted();
    f.on(
        new EndpointsUpdated(
            EndpointListForm.DELTA,
            List.of(
                new Endpoint(0, "a", 0, EndpointState.DRAINING, 1, 0),
                new Endpoint(1, "b", 1, EndpointState.REMOVED, 1, 0))));
    Set<Long> met = new HashSet<>();
    for (int i = 0; i < 400; i++) {
      f.run(25).request("safe", "free", 1);
      StartAttempt s = f.only(StartAttempt.class);
      met.add(s.endpointId());
      f.outcome(s, 0, Status.OK, true);
    }
    assertEquals(Set.of(2L, 3L), met);
  }

  @Test
  void aBackendThatIsWarmingUpGetsLittle() {
    PolicyFixture f = PolicyFixture.counted();
    f.on(
        new EndpointsUpdated(
            EndpointListForm.DELTA,
            List.of(new Endpoint(0, "a", 0, EndpointState.SERVING, 1, f.now))));
    int cold = 0;
    int all = 0;
    for (int i = 0; i < 200; i++) {
      f.run(25).request("safe", "free", 1);
      if (f.did(StartAttempt.class)) {
        StartAttempt s = f.only(StartAttempt.class);
        cold += s.endpointId() == 0 ? 1 : 0;
        all++;
        f.outcome(s, 0, Status.OK, true);
      }
    }
    assertTrue(cold > 0, "it is used at all");
    assertTrue(
        cold < all / 8, "under half of the quarter of one that is warm: " + cold + " of " + all);
  }

  @Test
  void aBackendThatFailsFastIsEjectedAndProbedAgain() {
    PolicyFixture f = PolicyFixture.counted();
    int early = failsFast(f, 100);
    assertTrue(early < 20, "attempts at the failing backend: " + early);
    for (int i = 0, met = 0; met == 0; i++) {
      assertTrue(i < 2000, "never probed");
      f.run(25).request("safe", "free", 1);
      StartAttempt s = f.only(StartAttempt.class);
      met += s.endpointId() == 0 ? 1 : 0;
      f.outcome(s, 0, Status.OK, true);
    }
  }

  private static int failsFast(PolicyFixture f, int requests) {
    int failing = 0;
    for (int i = 0; i < requests; i++) {
      f.run(25).request("safe", "free", 1);
      StartAttempt s = f.only(StartAttempt.class);
      int attempt = 0;
      while (s.endpointId() == 0) {
        failing++;
        f.outcome(s, attempt++, Status.ERROR, false);
        if (!f.did(StartAttempt.class)) {
          break;
        }
        s = f.only(StartAttempt.class);
      }
      f.outcome(s, attempt, Status.OK, true);
    }
    return failing;
  }

  /**
   * Incidents ifcb77b and i3b6be0: after an old report of high load a backend was avoided for good.
   */
  @Test
  void anOldLoadReportFades() {
    PolicyFixture f = PolicyFixture.counted();
    f.request("safe", "free", 1);
    StartAttempt busy = f.only(StartAttempt.class);
    f.report(busy, 0, 30);
    for (int i = 1; i < 4; i++) {
      f.request("safe", "free", 1);
      f.report(f.only(StartAttempt.class), 0, 0);
    }
    Set<Long> met = new HashSet<>();
    for (int i = 0; i < 200; i++) {
      f.run(25).request("safe", "free", 1);
      StartAttempt s = f.only(StartAttempt.class);
      met.add(s.endpointId());
      f.report(s, 0, 1);
    }
    assertTrue(met.contains(busy.endpointId()));
  }

  @Test
  void overloadedBackendsHaveRequestsRejectedEarly() {
    PolicyFixture f = PolicyFixture.counted();
    for (int i = 0; i < 60; i++) {
      f.request("safe", "free", 1);
      if (i >= 30 && f.did(StartAttempt.class)) {
        StartAttempt s = f.only(StartAttempt.class);
        f.on(new AttemptEnded(s.requestId(), 0, s.endpointId(), Status.OK, 900, true, 0, null));
      }
    }
    f.request("safe", "free", 1);
    assertTrue(f.did(RejectRequest.class));
  }

  /** The newest request was counted before it was asked for, so one less was open than may be. */
  @Test
  void asManyRequestsAreOpenAsTheSettingsAllow() {
    PolicyFixture f = new PolicyFixture(withMaxOpen(PolicyFixture.settings(true, 2, false), 2));
    f.backends(4);
    f.request("safe", "free", 1);
    f.request("safe", "free", 1);
    assertTrue(f.did(StartAttempt.class), "the second of two");
    f.request("safe", "free", 1);
    assertTrue(f.did(RejectRequest.class), "the third of two");
  }

  private static PolicySettings withMaxOpen(PolicySettings settings, int maxOpenRequests) {
    int attempts = settings.capabilities().maxAttempts();
    return changed(settings, settings.requestClasses(), attempts, maxOpenRequests);
  }

  @Test
  void anEndpointListThatIsPolledIsWatchedAndAskedForAgain() {
    PolicyFixture f = new PolicyFixture(PolicyFixture.settings(true, 2, true));
    assertTrue(f.did(WatchEndpoints.class));
    f.on(new EndpointsUpdated(EndpointListForm.FAILED, List.of()));
    f.on(new TimerFired(Timer.ENDPOINT_WATCH));
    assertTrue(f.did(WatchEndpoints.class));
  }

  private static PolicySettings changed(PolicySettings s, Idempotency repeatOfSafe, int attempts) {
    List<RequestClass> classes =
        s.requestClasses().stream()
            .map(
                c ->
                    !c.name().equals("safe")
                        ? c
                        : new RequestClass(
                            "safe",
                            1,
                            0,
                            1000,
                            4000,
                            repeatOfSafe,
                            DeduplicationScope.ALL,
                            0,
                            false))
            .toList();
    return changed(s, classes, attempts, s.capabilities().maxOpenRequests());
  }

  private static PolicySettings changed(
      PolicySettings s, List<RequestClass> classes, int attempts, int maxOpenRequests) {
    Capabilities a = s.capabilities();
    return new PolicySettings(
        s.gatewayCount(),
        s.gatewayIndex(),
        s.zone(),
        s.maxRequestUnits(),
        s.crossZonePrice(),
        s.endpointWeightsTold(),
        classes,
        s.plans(),
        new Capabilities(
            a.sharedCounter(),
            a.counterTimeoutMs(),
            a.cancellation(),
            a.hedging(),
            attempts,
            maxOpenRequests,
            a.retryAfter(),
            a.maxRetryAfterMs(),
            a.pollsDiscovery()),
        s.rules());
  }

  /** Open requests go by the settings that they came under, later ones by the new settings. */
  @Test
  void openRequestsKeepTheirClassWhenSettingsChange() {
    PolicyFixture f = PolicyFixture.counted();
    f.request("safe", "free", 1);
    StartAttempt open = f.only(StartAttempt.class);
    PolicySettings unsafe =
        changed(PolicyFixture.settings(true, 2, false), Idempotency.NOT_IDEMPOTENT, 4);
    f.on(new SettingsChanged(unsafe));
    f.outcome(open, 0, Status.RESET, false);
    assertTrue(f.did(StartAttempt.class), "it may execute again");
    f.on(
        new RequestReceived(
            "late", unsafe.requestClasses().get(0), "free", 42, 2, 1, f.now + 4000));
    f.outcome(f.only(StartAttempt.class), 0, Status.RESET, false);
    assertTrue(f.did(FailRequest.class), "that may not");
  }

  /** The lower limit, of the one when the request came and the present one, breaks neither. */
  @Test
  void attemptsStayWithinBothSettings() {
    for (int changed : new int[] {1, 9}) {
      PolicyFixture f = PolicyFixture.counted();
      f.request("safe", "free", 1);
      StartAttempt open = f.only(StartAttempt.class);
      f.on(
          new SettingsChanged(
              changed(PolicyFixture.settings(true, 2, false), Idempotency.IDEMPOTENT, changed)));
      int attempts = 1;
      for (f.outcome(open, 0, Status.NOT_SENT, false); f.did(StartAttempt.class); attempts++) {
        f.outcome(f.only(StartAttempt.class), attempts, Status.NOT_SENT, false);
      }
      assertEquals(Math.min(4, changed), attempts);
    }
  }

  /** A customer that has used its quota has used it under new settings, too. */
  @Test
  void chargedUnitsSurviveNewSettings() {
    PolicyFixture f = PolicyFixture.counted();
    f.request("safe", "rated", 4);
    f.total(200);
    assertTrue(f.did(RejectRequest.class));
    f.on(
        new SettingsChanged(
            changed(PolicyFixture.settings(true, 2, false), Idempotency.IDEMPOTENT, 3)));
    f.request("safe", "rated", 4);
    assertTrue(f.did(RejectRequest.class), "without another call");
  }

  /**
   * A request that is forwarded while its body comes uses a permit only once all of it is there.
   */
  @Test
  void aRequestIsInFlightOnceItsBodyIsComplete() {
    PolicyFixture f = PolicyFixture.counted();
    f.on(
        new RequestReceived(
            "large", PolicyFixture.type("safe"), "narrow", 42, 2, 1, Double.POSITIVE_INFINITY));
    StartAttempt large = f.only(StartAttempt.class);
    f.request("safe", "narrow", 1);
    f.outcome(f.only(StartAttempt.class), 0, Status.OK, true);
    f.on(new RequestBodyComplete("large", f.now + 4000));
    f.request("safe", "narrow", 1);
    assertTrue(f.did(RejectRequest.class), "one is in flight, which is this gateway's part");
    f.outcome(large, 0, Status.OK, true);
    f.request("safe", "narrow", 1);
    assertTrue(f.did(StartAttempt.class));
  }

  /** A body that was forwarded is gone; one that never reached a backend can go to another. */
  @Test
  void aForwardedBodyIsNotSentAgain() {
    for (Status status : new Status[] {Status.CONNECT_FAILED, Status.WRITE_INCOMPLETE}) {
      PolicyFixture f = PolicyFixture.counted();
      f.on(
          new RequestReceived(
              "large", PolicyFixture.type("safe"), "free", 42, 2, 1, Double.POSITIVE_INFINITY));
      f.outcome(f.only(StartAttempt.class), 0, status, false);
      assertEquals(status == Status.CONNECT_FAILED, f.did(StartAttempt.class));
      assertEquals(status == Status.WRITE_INCOMPLETE, f.did(RejectRequest.class));
    }
  }
}
