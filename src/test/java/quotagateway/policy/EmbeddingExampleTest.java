package quotagateway.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import quotagateway.endpoint.Endpoint;
import quotagateway.endpoint.EndpointListForm;
import quotagateway.endpoint.EndpointState;
import quotagateway.policy.action.Action;
import quotagateway.policy.action.FailRequest;
import quotagateway.policy.action.IncrementCounter;
import quotagateway.policy.action.RejectRequest;
import quotagateway.policy.action.ScheduleTimer;
import quotagateway.policy.action.StartAttempt;
import quotagateway.policy.action.Timer;
import quotagateway.policy.event.AttemptEnded;
import quotagateway.policy.event.CounterReplied;
import quotagateway.policy.event.EndpointsUpdated;
import quotagateway.policy.event.Event;
import quotagateway.policy.event.RequestReceived;
import quotagateway.policy.event.Status;
import quotagateway.policy.settings.Capabilities;
import quotagateway.policy.settings.DeduplicationScope;
import quotagateway.policy.settings.Idempotency;
import quotagateway.policy.settings.Plan;
import quotagateway.policy.settings.PolicySettings;
import quotagateway.policy.settings.RequestClass;
import quotagateway.policy.settings.ServiceRules;

/**
 * Shows how to embed a policy in a custom event loop, with a counter and a backend that reply
 * immediately.
 */
class EmbeddingExampleTest {

  private final Map<String, Double> counter = new HashMap<>();
  private int served;
  private int rejected;

  @Test
  void servesRequestsWithinQuotaAndRejectsOthers() {
    RequestClass read =
        new RequestClass(
            "read", 1, 0, 500, 2000, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, false);
    Plan basic = new Plan("basic", 2, 10, 0, 1, 0, 1, 0, 0, 0);
    Capabilities capabilities = new Capabilities(true, 30, true, false, 3, 1000, false, 0, false);
    PolicySettings settings =
        new PolicySettings(
            1,
            0,
            "a",
            4,
            0,
            false,
            List.of(read),
            List.of(basic),
            capabilities,
            new ServiceRules(8, 0.2, 10_000, 3, 2000));
    GatewayPolicy policy = new GatewayPolicy(settings, 1);

    ArrayDeque<Event> events = new ArrayDeque<>();
    double now = 5_000;
    policy.start(now);
    events.add(
        new EndpointsUpdated(
            EndpointListForm.SNAPSHOT,
            List.of(new Endpoint(7, "a", 0, EndpointState.SERVING, 1, 0))));
    for (int i = 0; i < 20; i++) {
      events.add(new RequestReceived("r" + i, read, "basic", 42, 1, 1, now + 2000));
    }
    while (!events.isEmpty()) {
      for (Action action : policy.on(now, events.poll())) {
        execute(action, events);
      }
    }
    assertEquals(10, served);
    assertEquals(10, rejected);
  }

  private void execute(Action action, ArrayDeque<Event> events) {
    if (action instanceof IncrementCounter increment) {
      double total = counter.merge(increment.counterName(), increment.amount(), Double::sum);
      events.addFirst(new CounterReplied(increment.counterName(), Status.OK, total, 1));
    } else if (action instanceof StartAttempt start) {
      served++;
      events.addFirst(
          new AttemptEnded(start.requestId(), 0, start.endpointId(), Status.OK, 20, true, 1, null));
    } else if (action instanceof RejectRequest || action instanceof FailRequest) {
      rejected++;
    } else if (action instanceof ScheduleTimer schedule) {
      assertEquals(
          Timer.REQUEST_CHECK,
          schedule.timer(),
          "a gateway would schedule a timer here and report TimerFired when it is due");
    }
  }
}
