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
import quotagateway.policy.action.CancelReason;
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
import quotagateway.policy.event.ProcessCountChanged;
import quotagateway.policy.event.RequestBodyComplete;
import quotagateway.policy.event.RequestBodyStalled;
import quotagateway.policy.event.RequestReceived;
import quotagateway.policy.event.ResponseProgress;
import quotagateway.policy.event.ResponseStarted;
import quotagateway.policy.event.SettingsChanged;
import quotagateway.policy.event.Status;
import quotagateway.policy.event.TimerFired;
import quotagateway.policy.settings.Capabilities;
import quotagateway.policy.settings.DeduplicationScope;
import quotagateway.policy.settings.Idempotency;
import quotagateway.policy.settings.PolicySettings;
import quotagateway.policy.settings.RequestClass;

/** Tests the decisions of one gateway, from events to actions. */
class GatewayPolicyTest {

  // Quota with a working counter

  @Test
  void forwardsRequestOnceCounterConfirmsItsEstimatedUnits() {
    PolicyFixture fixture = PolicyFixture.withCounterAndBackends();
    fixture.request("safe", "rate-limited", 3);
    assertEquals(3, fixture.lastActionOfType(IncrementCounter.class).amount());
    assertFalse(fixture.hasAction(StartAttempt.class));
    fixture.counterReplies(3);
    assertTrue(fixture.hasAction(StartAttempt.class));
  }

  @Test
  void refundsUnitsOfRequestRejectedOverQuota() {
    PolicyFixture fixture = PolicyFixture.withCounterAndBackends();
    fixture.request("safe", "rate-limited", 3);
    fixture.counterReplies(200);
    assertTrue(fixture.hasAction(RejectRequest.class));
    fixture.advanceClock(500).request("safe", "rate-limited", 1);
    assertEquals(
        -3,
        fixture.lastActionOfType(IncrementCounter.class).amount(),
        "the call only reads the counter and refunds the 3 rejected units");
  }

  @Test
  void settlesChargedUnitsWithNextCounterCall() {
    PolicyFixture fixture = PolicyFixture.withCounterAndBackends();
    fixture.request("safe", "rate-limited", 2);
    StartAttempt start = fixture.counterReplies(2).lastActionOfType(StartAttempt.class);
    fixture.on(
        new AttemptEnded(start.requestId(), 0, start.endpointId(), Status.OK, 50, true, 4, null));
    fixture.request("safe", "rate-limited", 1);
    assertEquals(1 + 2, fixture.lastActionOfType(IncrementCounter.class).amount());
  }

  @Test
  void rejectsExhaustedCustomerWithoutCounterCall() {
    PolicyFixture fixture = PolicyFixture.withCounterAndBackends();
    fixture.request("safe", "rate-limited", 3);
    fixture.counterReplies(200);
    fixture.advanceClock(10).request("safe", "rate-limited", 3);
    assertTrue(fixture.hasAction(RejectRequest.class));
    assertFalse(fixture.hasAction(IncrementCounter.class));
  }

  @Test
  void rejectsSecondBurstWhenCounterWindowChanges() {
    PolicyFixture fixture = PolicyFixture.withCounterAndBackends();
    String first = null;
    int sent = 0;
    for (double total = 2; fixture.allActions.size() < 4000; total += 2) {
      fixture.advanceClock(50).request("safe", "rate-limited", 2);
      if (!fixture.hasAction(IncrementCounter.class)) {
        continue;
      }
      String name = fixture.lastIncrement().counterName();
      if (first != null && !name.equals(first)) {
        fixture.counterReplies(fixture.lastIncrement().amount());
        assertTrue(
            fixture.hasAction(RejectRequest.class), "a new window must not grant a new burst");
        return;
      }
      first = name;
      fixture.counterReplies(total);
      sent += fixture.hasAction(StartAttempt.class) ? 1 : 0;
      if (fixture.hasAction(StartAttempt.class)) {
        StartAttempt start = fixture.lastActionOfType(StartAttempt.class);
        fixture.endAttempt(start, 0, Status.OK, true);
      }
    }
    throw new AssertionError("counter window did not change; attempts sent: " + sent);
  }

  /**
   * A broken connection is no evidence against the counter itself, which may still reply over
   * another connection.
   */
  @Test
  void readsCounterAgainAfterConnectionReset() {
    PolicyFixture fixture = PolicyFixture.withCounterAndBackends();
    fixture.request("safe", "rate-limited", 3);
    fixture.counterCallFails(Status.RESET);
    assertEquals(
        0,
        fixture.lastActionOfType(IncrementCounter.class).amount(),
        "the amount may have been added, so the call only reads the counter");
    assertFalse(fixture.hasAction(StartAttempt.class));
    fixture.counterReplies(0);
    assertTrue(fixture.hasAction(StartAttempt.class));
    fixture.request("safe", "rate-limited", 1);
    assertEquals(
        1 + 3,
        fixture.lastActionOfType(IncrementCounter.class).amount(),
        "the total shows that the 3 units were not added");
  }

  @Test
  void doesNotRepeatIncrementAppliedBeforeConnectionReset() {
    PolicyFixture fixture = PolicyFixture.withCounterAndBackends();
    fixture.request("safe", "rate-limited", 3);
    fixture.counterCallFails(Status.RESET).counterReplies(3);
    assertTrue(fixture.hasAction(StartAttempt.class));
    fixture.request("safe", "rate-limited", 1);
    assertEquals(1, fixture.lastActionOfType(IncrementCounter.class).amount());
  }

  /**
   * Fewer calls would not prevent connections from breaking, and decisions would fall back to the
   * replica.
   */
  @Test
  void doesNotThrottleCounterCallsAfterConnectionResets() {
    PolicyFixture fixture = PolicyFixture.withCounterAndBackends();
    for (int i = 0; i < 20; i++) {
      fixture.advanceClock(100).request("safe", "rate-limited-large", 1);
      assertTrue(
          fixture.hasAction(IncrementCounter.class), "request " + i + " does not call the counter");
      fixture.counterCallFails(Status.RESET).counterReplies(i);
      fixture.endAttempt(fixture.lastActionOfType(StartAttempt.class), 0, Status.OK, true);
    }
  }

  /**
   * If an attempt that was sent much later has already been answered, the backend works, but the
   * response to the earlier attempt is lost.
   */
  @Test
  void cancelsAttemptWhenBackendAnswersAttemptSentLongAfterIt() {
    PolicyFixture fixture =
        new PolicyFixture(PolicyFixture.settings(true, 2, false)).updateBackends(1);
    String lost = fixture.request("safe", "free", 1);
    fixture.runFor(500);
    fixture.request("safe", "free", 1);
    fixture
        .endAttempt(fixture.lastActionOfType(StartAttempt.class), 0, Status.OK, true)
        .runFor(200);
    assertFalse(
        fixture.hasAction(CancelAttempt.class),
        "the answered attempt was sent too soon after the first one to show a loss");
    fixture.request("safe", "free", 1);
    fixture.endAttempt(fixture.lastActionOfType(StartAttempt.class), 0, Status.OK, true).runFor(25);
    assertEquals(lost, fixture.lastActionOfType(CancelAttempt.class).requestId());
  }

  @Test
  void forwardsWithoutCounterCallWhenPlanHasNoRate() {
    PolicyFixture fixture = PolicyFixture.withCounterAndBackends();
    fixture.request("safe", "free", 3);
    assertTrue(fixture.hasAction(StartAttempt.class));
    assertFalse(fixture.hasAction(IncrementCounter.class));
  }

  @Test
  void splitsConcurrencyLimitAmongGateways() {
    PolicyFixture fixture = PolicyFixture.withCounterAndBackends();
    fixture.request("safe", "concurrency-limited", 1);
    assertTrue(fixture.hasAction(StartAttempt.class));
    fixture.request("safe", "concurrency-limited", 1);
    assertTrue(
        fixture.lastActionOfType(RejectRequest.class).retryAfterMs() > 0,
        "the client is advised to retry when an open request may have ended");
  }

  /**
   * A customer that uses more gateways than it has permits acquires each permit in a shared
   * counter, and the gateway releases the permit however the request ends.
   */
  @Test
  void releasesConcurrencyPermitHoweverRequestEnds() {
    PolicyFixture fixture =
        new PolicyFixture(PolicyFixture.settings(true, 5, false)).updateBackends(4);
    requestWithPermit(fixture, "safe");
    fixture.counterReplies(2);
    fixture.endAttempt(fixture.lastActionOfType(StartAttempt.class), 0, Status.OK, true);
    assertEquals(
        -1, fixture.lastActionOfType(IncrementCounter.class).amount(), "request was served");
    fixture.counterReplies(0);
    requestWithPermit(fixture, "unsafe");
    fixture.counterReplies(1);
    fixture.endAttempt(fixture.lastActionOfType(StartAttempt.class), 0, Status.ERROR, false);
    assertTrue(fixture.hasAction(FailRequest.class));
    assertEquals(-1, fixture.lastActionOfType(IncrementCounter.class).amount(), "request failed");
    fixture.counterReplies(0);
    requestWithPermit(fixture, "safe");
    fixture.counterReplies(3);
    assertTrue(fixture.hasAction(RejectRequest.class));
    assertEquals(
        -1,
        fixture.lastActionOfType(IncrementCounter.class).amount(),
        "request was rejected because other requests hold all permits");
    fixture.counterReplies(0);
    String disconnected = requestWithPermit(fixture, "safe");
    fixture.on(new ClientDisconnected(disconnected));
    assertFalse(
        fixture.hasAction(IncrementCounter.class),
        "it is not known yet whether the permit was acquired");
    fixture.counterReplies(1);
    assertEquals(
        -1, fixture.lastActionOfType(IncrementCounter.class).amount(), "client disconnected");
    assertFalse(fixture.hasAction(StartAttempt.class));
    fixture.counterReplies(0);
    String disconnectedEarly = requestWithPermit(fixture, "safe");
    fixture.on(new ClientDisconnected(disconnectedEarly)).counterCallFails(Status.REJECTED);
    assertFalse(fixture.hasAction(IncrementCounter.class), "no permit was acquired");
  }

  /**
   * With many gateways, nearly every request is the first one of its customer at this gateway for a
   * long time.
   */
  @Test
  void grantsPermitToFirstRequestWhileCounterIsUnavailable() {
    PolicyFixture fixture =
        new PolicyFixture(PolicyFixture.settings(true, 5, false)).updateBackends(4);
    requestWithPermit(fixture, "safe");
    fixture.counterCallFails(Status.REJECTED);
    assertTrue(fixture.hasAction(StartAttempt.class));
    requestWithPermit(fixture, "safe");
    fixture.counterCallFails(Status.REJECTED);
    assertTrue(
        fixture.hasAction(RejectRequest.class), "this gateway's share of the limit is in use");
  }

  private static String requestWithPermit(PolicyFixture fixture, String className) {
    String id = "with permit at " + fixture.now;
    fixture
        .advanceClock(1)
        .on(
            new RequestReceived(
                id,
                PolicyFixture.requestClass(className),
                "concurrency-limited",
                42,
                5,
                1,
                fixture.now + 4000));
    assertEquals(1, fixture.lastActionOfType(IncrementCounter.class).amount());
    assertFalse(fixture.hasAction(StartAttempt.class));
    return id;
  }

  @Test
  void splitsQuotaEvenlyWithoutCounter() {
    PolicyFixture fixture =
        new PolicyFixture(PolicyFixture.settings(false, 2, false)).updateBackends(4);
    fixture.request("safe", "rate-limited", 4);
    assertTrue(fixture.hasAction(StartAttempt.class));
    fixture.request("safe", "rate-limited", 4);
    assertTrue(
        fixture.hasAction(RejectRequest.class),
        "half of a burst of 10 covers one request of 4 units");
  }

  @Test
  void requestOfUnknownPlanAndClassGetsOneFinalResponse() {
    PolicyFixture fixture = PolicyFixture.withCounterAndBackends();
    fixture.on(
        new RequestReceived(
            "x",
            PolicyFixture.requestClass("no such class"),
            "no such plan",
            9,
            2,
            1,
            fixture.now + 4000));
    StartAttempt start = fixture.counterReplies(1).lastActionOfType(StartAttempt.class);
    fixture.endAttempt(start, 0, Status.ERROR, false);
    assertTrue(
        fixture.hasAction(FailRequest.class),
        "a request of an unknown class must not be executed twice");
  }

  // Quota with a failing counter

  @Test
  void decidesByReplicaWhenCounterCallTimesOut() {
    PolicyFixture fixture = PolicyFixture.withCounterAndBackends();
    fixture.request("safe", "rate-limited", 3);
    fixture.counterCallFails(Status.TIMED_OUT);
    assertTrue(fixture.hasAction(StartAttempt.class));
  }

  @Test
  void forwardsRequestAfterMaximumWaitForSilentCounter() {
    PolicyFixture fixture = PolicyFixture.withCounterAndBackends();
    fixture.request("safe", "rate-limited", 3);
    fixture.runFor(100);
    assertTrue(fixture.hasAction(StartAttempt.class));
  }

  @Test
  void probesUnreachableCounterRarelyAndResumesCallsAfterRecovery() {
    PolicyFixture fixture = PolicyFixture.withCounterAndBackends();
    int calls = 0;
    for (int i = 0; i < 200; i++) {
      fixture
          .advanceClock(20)
          .on(
              new RequestReceived(
                  "q" + i,
                  PolicyFixture.requestClass("safe"),
                  "rate-limited",
                  1000 + i,
                  2,
                  1,
                  fixture.now + 4000));
      if (fixture.hasAction(IncrementCounter.class)) {
        calls++;
        fixture.counterCallFails(Status.CONNECT_FAILED);
      }
    }
    assertTrue(calls < 40, "calls while the counter is unreachable: " + calls);
    int answered = 0;
    for (int i = 0; i < 200; i++) {
      fixture
          .advanceClock(20)
          .on(
              new RequestReceived(
                  "p" + i,
                  PolicyFixture.requestClass("safe"),
                  "rate-limited",
                  5000 + i,
                  2,
                  1,
                  fixture.now + 4000));
      if (fixture.hasAction(IncrementCounter.class)) {
        answered++;
        fixture.counterReplies(1);
      }
    }
    assertTrue(answered > 100, "calls after the counter recovered: " + answered);
  }

  @Test
  void addsUnitsOfRejectedCounterCallToNextCall() {
    PolicyFixture fixture = PolicyFixture.withCounterAndBackends();
    fixture.request("safe", "rate-limited", 3);
    fixture.counterCallFails(Status.REJECTED);
    assertTrue(fixture.hasAction(StartAttempt.class));
    fixture.request("safe", "rate-limited", 1);
    assertEquals(4, fixture.lastActionOfType(IncrementCounter.class).amount());
  }

  @Test
  void derivesFromNextTotalWhetherTimedOutCallWasApplied() {
    PolicyFixture added = PolicyFixture.withCounterAndBackends();
    added.request("safe", "rate-limited", 1);
    added.counterReplies(1);
    added.request("safe", "rate-limited", 3);
    added.counterCallFails(Status.TIMED_OUT);
    added.request("safe", "rate-limited", 1);
    added.counterReplies(5);
    added.request("safe", "rate-limited", 1);
    assertEquals(1, added.lastActionOfType(IncrementCounter.class).amount());

    PolicyFixture lost = PolicyFixture.withCounterAndBackends();
    lost.request("safe", "rate-limited", 1);
    lost.counterReplies(1);
    lost.request("safe", "rate-limited", 3);
    lost.counterCallFails(Status.TIMED_OUT);
    lost.request("safe", "rate-limited", 1);
    lost.counterReplies(2);
    lost.request("safe", "rate-limited", 1);
    assertEquals(1 + 3, lost.lastActionOfType(IncrementCounter.class).amount());
  }

  @Test
  void doesNotGrantFreshQuotaWhenCounterIsEmptied() {
    PolicyFixture fixture = PolicyFixture.withCounterAndBackends();
    fixture.request("safe", "rate-limited", 1);
    fixture.counterReplies(200);
    fixture.advanceClock(500).request("safe", "rate-limited", 1);
    fixture.counterReplies(fixture.lastIncrement().amount());
    assertTrue(fixture.hasAction(RejectRequest.class));
  }

  @Test
  void doesNotForwardRequestWhoseClientDisconnectsDuringCounterWait() {
    PolicyFixture fixture = PolicyFixture.withCounterAndBackends();
    String id = fixture.request("safe", "rate-limited", 1);
    fixture.on(new ClientDisconnected(id));
    fixture.counterReplies(1);
    assertFalse(fixture.hasAction(StartAttempt.class));
    fixture.request("safe", "rate-limited", 2);
    assertEquals(
        2 - 1,
        fixture.lastActionOfType(IncrementCounter.class).amount(),
        "the units of the disconnected request are refunded");
  }

  // Attempts

  @Test
  void failsNonIdempotentRequestThatMayHaveExecuted() {
    PolicyFixture fixture = PolicyFixture.withCounterAndBackends();
    fixture.request("unsafe", "free", 1);
    StartAttempt start = fixture.lastActionOfType(StartAttempt.class);
    fixture.endAttempt(start, 0, Status.RESET, false);
    assertTrue(fixture.hasAction(FailRequest.class));
    assertFalse(fixture.hasAction(StartAttempt.class));
  }

  @Test
  void retriesNonIdempotentRequestElsewhereWhenNotExecuted() {
    PolicyFixture fixture = PolicyFixture.withCounterAndBackends();
    fixture.request("unsafe", "free", 1);
    StartAttempt start = fixture.lastActionOfType(StartAttempt.class);
    fixture.endAttempt(start, 0, Status.CONNECT_FAILED, false);
    assertNotEquals(start.endpointId(), fixture.lastActionOfType(StartAttempt.class).endpointId());
  }

  @Test
  void retryAfterPossibleExecutionMustStartWithinDeduplicationWindow() {
    PolicyFixture fixture = PolicyFixture.withCounterAndBackends();
    fixture.request("zone", "free", 1);
    StartAttempt first = fixture.lastActionOfType(StartAttempt.class);
    assertEquals(Double.POSITIVE_INFINITY, first.maxStartDelayMs());
    fixture.advanceClock(500).endAttempt(first, 0, Status.CONNECT_FAILED, false);
    StartAttempt second = fixture.lastActionOfType(StartAttempt.class);
    assertEquals(
        Double.POSITIVE_INFINITY,
        second.maxStartDelayMs(),
        "the first attempt cannot have been executed");
    fixture.advanceClock(2000).endAttempt(second, 1, Status.ERROR, false);
    double remainingMs = 3000 - 2000;
    assertTrue(
        fixture.lastActionOfType(StartAttempt.class).maxStartDelayMs() > remainingMs - 50
            && fixture.lastActionOfType(StartAttempt.class).maxStartDelayMs() < remainingMs);
  }

  @Test
  void retriesKeyedRequestOnlyWithinDeduplicationScopeAndWindow() {
    PolicyFixture fixture = PolicyFixture.withCounterAndBackends();
    fixture.request("cell", "free", 1);
    StartAttempt start = fixture.lastActionOfType(StartAttempt.class);
    fixture.endAttempt(start, 0, Status.ERROR, false);
    if (fixture.hasAction(StartAttempt.class)) {
      assertEquals(
          start.endpointId(),
          fixture.lastActionOfType(StartAttempt.class).endpointId(),
          "the cell has only this backend");
    }
    fixture.request("zone", "free", 1);
    StartAttempt zoneStart = fixture.lastActionOfType(StartAttempt.class);
    fixture.endAttempt(zoneStart, 0, Status.ERROR, false);
    assertEquals(
        zoneStart.endpointId() % 2, fixture.lastActionOfType(StartAttempt.class).endpointId() % 2);
    StartAttempt again = fixture.lastActionOfType(StartAttempt.class);
    fixture.advanceClock(3500).endAttempt(again, 1, Status.ERROR, false);
    assertFalse(fixture.hasAction(StartAttempt.class), "the deduplication window has ended");
    assertTrue(
        fixture.hasAction(FailRequest.class),
        "a rejection would wrongly promise that a retry is safe");
  }

  @Test
  void rejectsRequestBeforeItsDeadlineWhenNoBackendIsKnown() {
    PolicyFixture fixture = new PolicyFixture(PolicyFixture.settings(true, 2, false));
    fixture.request("safe", "free", 1);
    assertFalse(fixture.hasAction(StartAttempt.class), "no backend is known");
    fixture.runFor(1000);
    assertTrue(fixture.hasAction(RejectRequest.class));
    fixture.on(
        new RequestReceived(
            "short", PolicyFixture.requestClass("safe"), "free", 1, 2, 1, fixture.now + 5));
    assertTrue(fixture.hasAction(RejectRequest.class), "the deadline is before the next check");
  }

  @Test
  void attemptTimesOutBeforeClientDeadline() {
    PolicyFixture fixture = PolicyFixture.withCounterAndBackends();
    fixture.request("safe", "free", 1);
    assertTrue(fixture.lastActionOfType(StartAttempt.class).timeoutMs() < 4000);
  }

  @Test
  void doesNotCancelStreamedResponseInProgress() {
    PolicyFixture fixture = PolicyFixture.withCounterAndBackends();
    String id = fixture.request("stream", "free", 1);
    fixture.on(new ResponseStarted(id, 0)).runFor(6000);
    assertTrue(fixture.lastActions.isEmpty(), fixture.lastActions.toString());
  }

  @Test
  void cancelsAttemptAtSilentBackendAndRetriesElsewhere() {
    PolicyFixture fixture = PolicyFixture.withCounterAndBackends();
    fixture.request("safe", "free", 1);
    StartAttempt start = fixture.lastActionOfType(StartAttempt.class);
    fixture.runFor(700);
    assertEquals(
        new CancelAttempt(start.requestId(), 0, CancelReason.NO_RESPONSE),
        fixture.lastActionOfType(CancelAttempt.class));
    fixture.endAttempt(start, 0, Status.CANCELLED, false);
    assertNotEquals(start.endpointId(), fixture.lastActionOfType(StartAttempt.class).endpointId());
  }

  /**
   * The policy throws an exception for an event type that it does not handle, for example one that
   * was added only to the sealed interface.
   */
  @Test
  void handlesEveryEventType() {
    PolicyFixture fixture = PolicyFixture.withCounterAndBackends();
    List<Event> events =
        List.of(
            new RequestReceived(
                "r", PolicyFixture.requestClass("safe"), "free", 1, 2, 1, fixture.now + 4000),
            new RequestBodyStalled("r", 10),
            new RequestBodyComplete("r", fixture.now + 4000),
            new CounterReplied("nothing", Status.OK, 5, 1),
            new ResponseProgress("r", 0, true),
            new ResponseStarted("r", 0),
            new AttemptEnded("r", 0, 1, Status.OK, 5, true, 0, null),
            new ClientDisconnected("r"),
            new EndpointsUpdated(EndpointListForm.DELTA, List.of()),
            new TimerFired(Timer.REQUEST_CHECK),
            new ProcessCountChanged(2),
            new SettingsChanged(PolicyFixture.settings(true, 2, false)));
    Set<Class<?>> handledTypes = new HashSet<>();
    for (Event event : events) {
      fixture.on(event);
      handledTypes.add(event.getClass());
    }
    assertEquals(Set.of(Event.class.getPermittedSubclasses()), handledTypes);
  }

  @Test
  void ignoresEventsForUnknownRequestsAndCounters() {
    PolicyFixture fixture = PolicyFixture.withCounterAndBackends();
    fixture.on(new AttemptEnded("nobody", 0, 1, Status.OK, 5, true, 0, null));
    fixture.on(new CounterReplied("nothing", Status.OK, 5, 1));
    fixture.on(new ClientDisconnected("nobody"));
    fixture.on(new TimerFired(Timer.REQUEST_CHECK));
    assertTrue(fixture.lastActions.isEmpty());
  }

  // Backends

  @Test
  void sendsNoNewAttemptsToDrainingOrRemovedBackends() {
    PolicyFixture fixture = PolicyFixture.withCounterAndBackends();
    fixture.on(
        new EndpointsUpdated(
            EndpointListForm.DELTA,
            List.of(
                new Endpoint(0, "a", 0, EndpointState.DRAINING, 1, 0),
                new Endpoint(1, "b", 1, EndpointState.REMOVED, 1, 0))));
    Set<Long> usedBackends = new HashSet<>();
    for (int i = 0; i < 400; i++) {
      fixture.runFor(25).request("safe", "free", 1);
      StartAttempt start = fixture.lastActionOfType(StartAttempt.class);
      usedBackends.add(start.endpointId());
      fixture.endAttempt(start, 0, Status.OK, true);
    }
    assertEquals(Set.of(2L, 3L), usedBackends);
  }

  @Test
  void limitsTrafficToBackendThatIsWarmingUp() {
    PolicyFixture fixture = PolicyFixture.withCounterAndBackends();
    fixture.on(
        new EndpointsUpdated(
            EndpointListForm.DELTA,
            List.of(new Endpoint(0, "a", 0, EndpointState.SERVING, 1, fixture.now))));
    int warmingUpAttempts = 0;
    int allAttempts = 0;
    for (int i = 0; i < 200; i++) {
      fixture.runFor(25).request("safe", "free", 1);
      if (fixture.hasAction(StartAttempt.class)) {
        StartAttempt start = fixture.lastActionOfType(StartAttempt.class);
        warmingUpAttempts += start.endpointId() == 0 ? 1 : 0;
        allAttempts++;
        fixture.endAttempt(start, 0, Status.OK, true);
      }
    }
    assertTrue(warmingUpAttempts > 0, "the backend is never used");
    assertTrue(
        warmingUpAttempts < allAttempts / 8,
        "the backend gets at least half as much as a warm one: "
            + warmingUpAttempts
            + " of "
            + allAttempts);
  }

  @Test
  void ejectsBackendThatFailsFastAndProbesItLater() {
    PolicyFixture fixture = PolicyFixture.withCounterAndBackends();
    int attemptsAtFailingBackend = failAttemptsAtFirstBackend(fixture, 100);
    assertTrue(
        attemptsAtFailingBackend < 20,
        "attempts at the failing backend: " + attemptsAtFailingBackend);
    for (int i = 0, probes = 0; probes == 0; i++) {
      assertTrue(i < 2000, "the backend is never probed");
      fixture.runFor(25).request("safe", "free", 1);
      StartAttempt start = fixture.lastActionOfType(StartAttempt.class);
      probes += start.endpointId() == 0 ? 1 : 0;
      fixture.endAttempt(start, 0, Status.OK, true);
    }
  }

  private static int failAttemptsAtFirstBackend(PolicyFixture fixture, int requests) {
    int failing = 0;
    for (int i = 0; i < requests; i++) {
      fixture.runFor(25).request("safe", "free", 1);
      StartAttempt start = fixture.lastActionOfType(StartAttempt.class);
      int attempt = 0;
      while (start.endpointId() == 0) {
        failing++;
        fixture.endAttempt(start, attempt++, Status.ERROR, false);
        if (!fixture.hasAction(StartAttempt.class)) {
          break;
        }
        start = fixture.lastActionOfType(StartAttempt.class);
      }
      fixture.endAttempt(start, attempt, Status.OK, true);
    }
    return failing;
  }

  /**
   * Guards against incidents ifcb77b and i3b6be0, in which a backend was avoided permanently after
   * an old report of high load.
   */
  @Test
  void usesBackendAgainAfterOldReportOfHighLoad() {
    PolicyFixture fixture = PolicyFixture.withCounterAndBackends();
    fixture.request("safe", "free", 1);
    StartAttempt busy = fixture.lastActionOfType(StartAttempt.class);
    fixture.succeedWithLoad(busy, 0, 30);
    for (int i = 1; i < 4; i++) {
      fixture.request("safe", "free", 1);
      fixture.succeedWithLoad(fixture.lastActionOfType(StartAttempt.class), 0, 0);
    }
    Set<Long> usedBackends = new HashSet<>();
    for (int i = 0; i < 200; i++) {
      fixture.runFor(25).request("safe", "free", 1);
      StartAttempt start = fixture.lastActionOfType(StartAttempt.class);
      usedBackends.add(start.endpointId());
      fixture.succeedWithLoad(start, 0, 1);
    }
    assertTrue(usedBackends.contains(busy.endpointId()));
  }

  @Test
  void rejectsRequestWhenBackendsAreOverloaded() {
    PolicyFixture fixture = PolicyFixture.withCounterAndBackends();
    for (int i = 0; i < 60; i++) {
      fixture.request("safe", "free", 1);
      if (i >= 30 && fixture.hasAction(StartAttempt.class)) {
        StartAttempt start = fixture.lastActionOfType(StartAttempt.class);
        fixture.on(
            new AttemptEnded(
                start.requestId(), 0, start.endpointId(), Status.OK, 900, true, 0, null));
      }
    }
    fixture.request("safe", "free", 1);
    assertTrue(fixture.hasAction(RejectRequest.class));
  }

  /**
   * Guards against an off-by-one error: the new request was counted before the check against the
   * limit, so that one request fewer than allowed could be open.
   */
  @Test
  void admitsAsManyOpenRequestsAsSettingsAllow() {
    PolicyFixture fixture =
        new PolicyFixture(withMaxOpen(PolicyFixture.settings(true, 2, false), 2));
    fixture.updateBackends(4);
    fixture.request("safe", "free", 1);
    fixture.request("safe", "free", 1);
    assertTrue(fixture.hasAction(StartAttempt.class), "second request with a limit of 2");
    fixture.request("safe", "free", 1);
    assertTrue(fixture.hasAction(RejectRequest.class), "third request with a limit of 2");
  }

  private static PolicySettings withMaxOpen(PolicySettings settings, int maxOpenRequests) {
    int attempts = settings.capabilities().maxAttempts();
    return withChanges(settings, settings.requestClasses(), attempts, maxOpenRequests);
  }

  @Test
  void watchesPolledEndpointListAgainAfterFailure() {
    PolicyFixture fixture = new PolicyFixture(PolicyFixture.settings(true, 2, true));
    assertTrue(fixture.hasAction(WatchEndpoints.class));
    fixture.on(new EndpointsUpdated(EndpointListForm.FAILED, List.of()));
    fixture.on(new TimerFired(Timer.ENDPOINT_WATCH));
    assertTrue(fixture.hasAction(WatchEndpoints.class));
  }

  private static PolicySettings withChanges(
      PolicySettings settings, Idempotency idempotency, int attempts) {
    List<RequestClass> classes =
        settings.requestClasses().stream()
            .map(
                requestClass ->
                    !requestClass.name().equals("safe")
                        ? requestClass
                        : new RequestClass(
                            "safe",
                            1,
                            0,
                            1000,
                            4000,
                            idempotency,
                            DeduplicationScope.ALL,
                            0,
                            false))
            .toList();
    return withChanges(settings, classes, attempts, settings.capabilities().maxOpenRequests());
  }

  private static PolicySettings withChanges(
      PolicySettings settings, List<RequestClass> classes, int attempts, int maxOpenRequests) {
    Capabilities capabilities = settings.capabilities();
    return new PolicySettings(
        settings.gatewayCount(),
        settings.gatewayIndex(),
        settings.zone(),
        settings.maxRequestUnits(),
        settings.crossZonePrice(),
        settings.endpointWeightsTold(),
        classes,
        settings.plans(),
        new Capabilities(
            capabilities.sharedCounter(),
            capabilities.counterTimeoutMs(),
            capabilities.cancellation(),
            capabilities.hedging(),
            attempts,
            maxOpenRequests,
            capabilities.retryAfter(),
            capabilities.maxRetryAfterMs(),
            capabilities.pollsDiscovery()),
        settings.rules());
  }

  /** Open requests use the settings under which they were received, later ones the new settings. */
  @Test
  void openRequestsKeepTheirRequestClassWhenSettingsChange() {
    PolicyFixture fixture = PolicyFixture.withCounterAndBackends();
    fixture.request("safe", "free", 1);
    StartAttempt open = fixture.lastActionOfType(StartAttempt.class);
    PolicySettings notIdempotent =
        withChanges(PolicyFixture.settings(true, 2, false), Idempotency.NOT_IDEMPOTENT, 4);
    fixture.on(new SettingsChanged(notIdempotent));
    fixture.endAttempt(open, 0, Status.RESET, false);
    assertTrue(fixture.hasAction(StartAttempt.class), "a retry is allowed for the open request");
    fixture.on(
        new RequestReceived(
            "late", notIdempotent.requestClasses().get(0), "free", 42, 2, 1, fixture.now + 4000));
    fixture.endAttempt(fixture.lastActionOfType(StartAttempt.class), 0, Status.RESET, false);
    assertTrue(
        fixture.hasAction(FailRequest.class), "a retry is not allowed for the later request");
  }

  /**
   * The number of attempts respects both the limit at the receipt of the request and the current
   * limit.
   */
  @Test
  void limitsAttemptsToLowerOfOldAndNewSettings() {
    for (int newMaxAttempts : new int[] {1, 9}) {
      PolicyFixture fixture = PolicyFixture.withCounterAndBackends();
      fixture.request("safe", "free", 1);
      StartAttempt open = fixture.lastActionOfType(StartAttempt.class);
      fixture.on(
          new SettingsChanged(
              withChanges(
                  PolicyFixture.settings(true, 2, false), Idempotency.IDEMPOTENT, newMaxAttempts)));
      int attempts = 1;
      for (fixture.endAttempt(open, 0, Status.NOT_SENT, false);
          fixture.hasAction(StartAttempt.class);
          attempts++) {
        fixture.endAttempt(
            fixture.lastActionOfType(StartAttempt.class), attempts, Status.NOT_SENT, false);
      }
      assertEquals(Math.min(4, newMaxAttempts), attempts);
    }
  }

  /** New settings must not grant a fresh quota to a customer that has used up its quota. */
  @Test
  void keepsChargedUnitsWhenSettingsChange() {
    PolicyFixture fixture = PolicyFixture.withCounterAndBackends();
    fixture.request("safe", "rate-limited", 4);
    fixture.counterReplies(200);
    assertTrue(fixture.hasAction(RejectRequest.class));
    fixture.on(
        new SettingsChanged(
            withChanges(PolicyFixture.settings(true, 2, false), Idempotency.IDEMPOTENT, 3)));
    fixture.request("safe", "rate-limited", 4);
    assertTrue(
        fixture.hasAction(RejectRequest.class),
        "the customer is still exhausted, without another counter call");
  }

  /**
   * A request that is forwarded while its body is being received uses a permit only once the body
   * is complete.
   */
  @Test
  void countsForwardedRequestAsInFlightOnceItsBodyIsComplete() {
    PolicyFixture fixture = PolicyFixture.withCounterAndBackends();
    fixture.on(
        new RequestReceived(
            "large",
            PolicyFixture.requestClass("safe"),
            "concurrency-limited",
            42,
            2,
            1,
            Double.POSITIVE_INFINITY));
    StartAttempt large = fixture.lastActionOfType(StartAttempt.class);
    fixture.request("safe", "concurrency-limited", 1);
    fixture.endAttempt(fixture.lastActionOfType(StartAttempt.class), 0, Status.OK, true);
    fixture.on(new RequestBodyComplete("large", fixture.now + 4000));
    fixture.request("safe", "concurrency-limited", 1);
    assertTrue(
        fixture.hasAction(RejectRequest.class),
        "one request is in flight, which is this gateway's share of the limit");
    fixture.endAttempt(large, 0, Status.OK, true);
    fixture.request("safe", "concurrency-limited", 1);
    assertTrue(fixture.hasAction(StartAttempt.class));
  }

  /**
   * A partly forwarded body cannot be sent again; if no connection was established, nothing was
   * sent and another backend can be used.
   */
  @Test
  void doesNotRetryAfterBodyWasPartlyForwarded() {
    for (Status status : new Status[] {Status.CONNECT_FAILED, Status.WRITE_INCOMPLETE}) {
      PolicyFixture fixture = PolicyFixture.withCounterAndBackends();
      fixture.on(
          new RequestReceived(
              "large",
              PolicyFixture.requestClass("safe"),
              "free",
              42,
              2,
              1,
              Double.POSITIVE_INFINITY));
      fixture.endAttempt(fixture.lastActionOfType(StartAttempt.class), 0, status, false);
      assertEquals(status == Status.CONNECT_FAILED, fixture.hasAction(StartAttempt.class));
      assertEquals(status == Status.WRITE_INCOMPLETE, fixture.hasAction(RejectRequest.class));
    }
  }
}
