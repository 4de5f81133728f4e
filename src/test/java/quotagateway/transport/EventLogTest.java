package quotagateway.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Tests the form of the event log, and its bound under a flood. */
class EventLogTest {

  private final List<String> lines = new ArrayList<>();
  private long nowNanos = 1;
  private final EventLog log = new EventLog(() -> nowNanos, lines::add);

  private void write(String reason) {
    log.line(LogEvent.ATTEMPT_ENDED, reason).with("request", "r1").withMs("left_ms", 12.6).write();
  }

  @Test
  void lineHasEventReasonAndValuesInOneForm() {
    write("TIMED_OUT");
    assertEquals(List.of("attempt_ended reason=TIMED_OUT request=r1 left_ms=13"), lines);
  }

  /** A request identifier comes from a client; it must not forge a line or fill the log. */
  @Test
  void valueCannotEndTheLineOrGrowWithoutBound() {
    log.line(LogEvent.REQUEST_REJECTED, "over quota")
        .with("request", "a\nb c\u00e9" + "x".repeat(1_000))
        .withMs("left_ms", Double.POSITIVE_INFINITY)
        .write();
    String expected = "request_rejected reason=over_quota request=a_b_c_" + "x".repeat(58);
    assertEquals(List.of(expected), lines);
  }

  @Test
  void floodIsBoundedForEachReasonAndItsRestIsCounted() {
    for (int i = 0; i < 1_000; i++) {
      write("TIMED_OUT");
    }
    assertEquals(20, lines.size());
    write("RESET");
    assertEquals(21, lines.size(), "another reason is not hidden");
    nowNanos += TimeUnit.SECONDS.toNanos(1);
    for (int i = 0; i < 1_000; i++) {
      write("TIMED_OUT");
    }
    assertEquals(26, lines.size());
    assertTrue(lines.get(21).startsWith("attempt_ended reason=TIMED_OUT suppressed=980 request="));
  }

  @Test
  void numberOfReasonsIsBounded() {
    for (int i = 0; i < 10_000; i++) {
      write("reason" + i);
    }
    assertEquals(256 + 20, lines.size());
    assertTrue(lines.get(lines.size() - 1).startsWith("attempt_ended reason=other"));
  }
}
