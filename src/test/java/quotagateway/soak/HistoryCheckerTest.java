package quotagateway.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** A soak that sees no violation must be one that would have seen it. */
class HistoryCheckerTest {

  private static final String ID = "c1-1";

  private final History history = new History();
  private boolean leaving;
  private boolean killed;
  private List<SoakDiscovery.ClosedSpan> closedSpans = List.of();

  private final HistoryChecker checker =
      new HistoryChecker(
          history,
          new HistoryChecker.Circumstances() {
            @Override
            public boolean wasLeaving(int gateway, double timeMs) {
              return leaving;
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
            public boolean crowded() {
              return false;
            }
          });

  @AfterEach
  void close() {
    history.lateness().close();
  }

  private void request(RequestKind kind, HistoryEvent.Kind... events) {
    history.open(ID, new History.Sent(kind, Customer.UNLIMITED, 0, 1_000, false, 10));
    for (HistoryEvent.Kind event : events) {
      history.add(ID, event, "backend-2", "");
    }
  }

  private List<String> brokenRules() {
    return checker.check().stream().map(Violation::rule).toList();
  }

  @Test
  void acceptsAnAnsweredRequest() {
    request(
        RequestKind.NOT_IDEMPOTENT,
        HistoryEvent.Kind.SENT,
        HistoryEvent.Kind.NOT_EXECUTED,
        HistoryEvent.Kind.EXECUTED,
        HistoryEvent.Kind.ANSWERED);
    assertEquals(List.of(), brokenRules());
  }

  @Test
  void findsAResponseOfAnotherRequest() {
    request(RequestKind.IDEMPOTENT, HistoryEvent.Kind.SENT, HistoryEvent.Kind.FOREIGN_RESPONSE);
    assertEquals(List.of("response of another request"), brokenRules());
  }

  @Test
  void findsAProperRequestThatIsTakenForABadOne() {
    request(RequestKind.IDEMPOTENT, HistoryEvent.Kind.SENT);
    history.add(ID, HistoryEvent.Kind.ANSWERED, "client-1", "400");
    assertEquals(List.of("proper request answered by 400"), brokenRules());
  }

  @Test
  void findsASecondExecution() {
    request(
        RequestKind.NOT_IDEMPOTENT,
        HistoryEvent.Kind.SENT,
        HistoryEvent.Kind.EXECUTED,
        HistoryEvent.Kind.EXECUTED,
        HistoryEvent.Kind.ANSWERED);
    assertEquals(List.of("executed 2 times"), brokenRules());
  }

  @Test
  void findsARejectionAfterAnExecution() {
    request(RequestKind.NOT_IDEMPOTENT, HistoryEvent.Kind.SENT, HistoryEvent.Kind.EXECUTED);
    history.add(ID, HistoryEvent.Kind.ANSWERED, "client-1", "503");
    assertEquals(List.of("rejected after an execution"), brokenRules());
  }

  @Test
  void findsAForwardedRequestThatIsLostThoughItsGatewayEnds() {
    leaving = true;
    request(
        RequestKind.IDEMPOTENT,
        HistoryEvent.Kind.SENT,
        HistoryEvent.Kind.EXECUTED,
        HistoryEvent.Kind.ENDED_UNANSWERED);
    assertEquals(List.of("lost after it was forwarded"), brokenRules());
  }

  @Test
  void acceptsThatAKilledGatewayLosesWhatItHeld() {
    killed = true;
    request(
        RequestKind.IDEMPOTENT,
        HistoryEvent.Kind.SENT,
        HistoryEvent.Kind.EXECUTED,
        HistoryEvent.Kind.ENDED_UNANSWERED);
    assertEquals(List.of(), brokenRules());
  }

  @Test
  void findsAConnectionThatIsClosedUnderARequest() {
    request(RequestKind.IDEMPOTENT, HistoryEvent.Kind.SENT, HistoryEvent.Kind.ENDED_UNANSWERED);
    assertEquals(List.of("connection closed without a response"), brokenRules());
  }

  @Test
  void acceptsThatAnEndingGatewayClosesAConnectionUnread() {
    leaving = true;
    request(RequestKind.IDEMPOTENT, HistoryEvent.Kind.SENT, HistoryEvent.Kind.ENDED_UNANSWERED);
    assertEquals(List.of(), brokenRules());
  }

  @Test
  void findsAnAttemptAtABackendThatIsClosed() {
    closedSpans = List.of(new SoakDiscovery.ClosedSpan(2, -1, Double.POSITIVE_INFINITY));
    request(
        RequestKind.IDEMPOTENT,
        HistoryEvent.Kind.SENT,
        HistoryEvent.Kind.EXECUTED,
        HistoryEvent.Kind.ANSWERED);
    assertEquals(List.of("attempt at a backend that drains or is gone"), brokenRules());
  }

  @Test
  void findsAHardLimitThatIsPassedByMoreThanItsSlack() {
    HardLimitRule limit = new HardLimitRule();
    int units = (int) (HardLimitRule.BURST_UNITS + HardLimitRule.SLACK_UNITS);
    for (int i = 0; i < units; i++) {
      limit.add(List.of(execution(0)));
    }
    assertEquals(-HardLimitRule.SLACK_UNITS, limit.lowestLevel(), 1e-9);
    limit.add(List.of(execution(1)));
    assertTrue(limit.lowestLevel() < -HardLimitRule.SLACK_UNITS);
  }

  private static HistoryEvent execution(double timeMs) {
    return new HistoryEvent(timeMs, HistoryEvent.Kind.EXECUTED, "backend-1", "");
  }
}
