package quotagateway.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Ensures that the checker detects each kind of violation and accepts permitted outcomes. */
class HistoryCheckerTest {

  private static final String REQUEST_ID = "c1-1";

  private final History history = new History();
  private boolean drainingOrStopping;
  private boolean killed;
  private List<SoakDiscovery.ClosedSpan> closedSpans = List.of();

  private final HistoryChecker checker =
      new HistoryChecker(
          history,
          new HistoryChecker.RunContext() {
            @Override
            public boolean wasDrainingOrStopping(int gateway, double timeMs) {
              return drainingOrStopping;
            }

            @Override
            public boolean wasKilled(int gateway, double timeMs) {
              return killed;
            }

            @Override
            public List<SoakDiscovery.ClosedSpan> closedSpans() {
              return closedSpans;
            }

            @Override
            public boolean exhaustsDescriptors() {
              return false;
            }
          });

  @AfterEach
  void close() {
    history.latenessMonitor().close();
  }

  private void recordRequest(RequestKind kind, HistoryEvent.Kind... events) {
    history.recordRequest(
        REQUEST_ID, new History.Sent(kind, Customer.UNLIMITED, 0, 1_000, false, 10));
    for (HistoryEvent.Kind event : events) {
      history.recordEvent(REQUEST_ID, event, "backend-2", "");
    }
  }

  private List<String> violatedRules() {
    return checker.check().stream().map(Violation::rule).toList();
  }

  @Test
  void acceptsRespondedRequest() {
    recordRequest(
        RequestKind.NOT_IDEMPOTENT,
        HistoryEvent.Kind.SENT,
        HistoryEvent.Kind.NOT_EXECUTED,
        HistoryEvent.Kind.EXECUTED,
        HistoryEvent.Kind.ANSWERED);
    assertEquals(List.of(), violatedRules());
  }

  @Test
  void reportsResponseOfAnotherRequest() {
    recordRequest(
        RequestKind.IDEMPOTENT, HistoryEvent.Kind.SENT, HistoryEvent.Kind.FOREIGN_RESPONSE);
    assertEquals(List.of("response belongs to another request"), violatedRules());
  }

  @Test
  void reportsValidRequestRejectedAsMalformed() {
    recordRequest(RequestKind.IDEMPOTENT, HistoryEvent.Kind.SENT);
    history.recordEvent(REQUEST_ID, HistoryEvent.Kind.ANSWERED, "client-1", "400");
    assertEquals(List.of("valid request got status 400"), violatedRules());
  }

  @Test
  void reportsSecondExecutionOfNonIdempotentRequest() {
    recordRequest(
        RequestKind.NOT_IDEMPOTENT,
        HistoryEvent.Kind.SENT,
        HistoryEvent.Kind.EXECUTED,
        HistoryEvent.Kind.EXECUTED,
        HistoryEvent.Kind.ANSWERED);
    assertEquals(List.of("non-idempotent request executed 2 times"), violatedRules());
  }

  @Test
  void reportsRejectionAfterExecution() {
    recordRequest(RequestKind.NOT_IDEMPOTENT, HistoryEvent.Kind.SENT, HistoryEvent.Kind.EXECUTED);
    history.recordEvent(REQUEST_ID, HistoryEvent.Kind.ANSWERED, "client-1", "503");
    assertEquals(List.of("request rejected after it was executed"), violatedRules());
  }

  @Test
  void reportsForwardedRequestLostDuringShutdown() {
    drainingOrStopping = true;
    recordRequest(
        RequestKind.IDEMPOTENT,
        HistoryEvent.Kind.SENT,
        HistoryEvent.Kind.EXECUTED,
        HistoryEvent.Kind.ENDED_UNANSWERED);
    assertEquals(List.of("request lost after it was forwarded"), violatedRules());
  }

  @Test
  void acceptsLossOfInFlightRequestsOnKill() {
    killed = true;
    recordRequest(
        RequestKind.IDEMPOTENT,
        HistoryEvent.Kind.SENT,
        HistoryEvent.Kind.EXECUTED,
        HistoryEvent.Kind.ENDED_UNANSWERED);
    assertEquals(List.of(), violatedRules());
  }

  @Test
  void reportsConnectionClosedWithoutResponse() {
    recordRequest(
        RequestKind.IDEMPOTENT, HistoryEvent.Kind.SENT, HistoryEvent.Kind.ENDED_UNANSWERED);
    assertEquals(List.of("connection closed without a response"), violatedRules());
  }

  @Test
  void acceptsConnectionClosedUnreadDuringShutdown() {
    drainingOrStopping = true;
    recordRequest(
        RequestKind.IDEMPOTENT, HistoryEvent.Kind.SENT, HistoryEvent.Kind.ENDED_UNANSWERED);
    assertEquals(List.of(), violatedRules());
  }

  @Test
  void reportsAttemptAtClosedBackend() {
    closedSpans = List.of(new SoakDiscovery.ClosedSpan(2, -1, Double.POSITIVE_INFINITY));
    recordRequest(
        RequestKind.IDEMPOTENT,
        HistoryEvent.Kind.SENT,
        HistoryEvent.Kind.EXECUTED,
        HistoryEvent.Kind.ANSWERED);
    assertEquals(List.of("attempt at a draining or removed backend"), violatedRules());
  }

  @Test
  void oneRequestBeyondBurstAndSlackExceedsTheHardLimit() {
    HardLimitRule limit = new HardLimitRule();
    int units = (int) (HardLimitRule.BURST_UNITS + HardLimitRule.SLACK_UNITS);
    for (int i = 0; i < units; i++) {
      limit.addRequest(List.of(executedAt(0)));
    }
    assertEquals(-HardLimitRule.SLACK_UNITS, limit.lowestLevelUnits(), 1e-9);
    limit.addRequest(List.of(executedAt(1)));
    assertTrue(limit.lowestLevelUnits() < -HardLimitRule.SLACK_UNITS);
  }

  private static HistoryEvent executedAt(double timeMs) {
    return new HistoryEvent(timeMs, HistoryEvent.Kind.EXECUTED, "backend-1", "");
  }
}
