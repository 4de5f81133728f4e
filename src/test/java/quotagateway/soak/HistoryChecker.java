package quotagateway.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/** Checks the rules of the service on a run's history. */
final class HistoryChecker {

  /** After this, and the slack, an attempt for a client that has gone is a break. */
  private static final double AFTER_CLIENT_LEFT_MS = 150;

  /** A gateway may close a connection that has been idle for so long. */
  private static final double MAY_CLOSE_IDLE_MS = 2_000;

  /**
   * A gateway that can be reached and has backends must not reject all that it gets for so long.
   */
  private static final double MAX_REJECTING_MS = 1_000;

  /** Responses that no proper request gets, whatever happens to the peers. */
  private static final Set<String> WRONG_STATUSES = Set.of("400", "408", "413", "500");

  /** Responses after which a client sends its request again. */
  private static final Set<String> REJECTIONS = Set.of("429", "503");

  private static final int MIN_REJECTIONS = 15;

  /** A stand-in that ran later than this cannot tell when something happened. */
  private static final double MAX_LATENESS_MS = 40;

  /** What a run gives beside its history. */
  interface Circumstances {

    /** Whether a gateway drained or ended at that time. */
    boolean wasLeaving(int gateway, double timeMs);

    /**
     * Whether a gateway was killed outright at that time: its requests are their clients' to
     * repeat.
     */
    boolean wasKilled(int gateway, double timeMs);

    /** When each backend was closed to requests. */
    List<SoakDiscovery.ClosedSpan> closedSpans();

    /** Whether idle clients fill the descriptors. */
    boolean crowded();
  }

  private final History history;
  private final Circumstances circumstances;
  private final List<Violation> violations = new ArrayList<>();
  private int checks;
  private int voided;

  HistoryChecker(History history, Circumstances circumstances) {
    this.history = history;
    this.circumstances = circumstances;
  }

  /** How many checks were made. */
  int checks() {
    return checks;
  }

  /** How many of them say nothing, as a stand-in itself ran late. */
  int voided() {
    return voided;
  }

  /** Checks all requests. */
  List<Violation> check() {
    history.requests().forEach(this::checkRequest);
    checkRejections();
    checkHardLimit();
    return violations;
  }

  private void checkRequest(String id, History.Sent sent) {
    List<HistoryEvent> events = history.of(id);
    checkOwnResponse(id, events);
    checkFinalResponse(id, sent, events);
    checkExecutions(id, sent, events);
    checkAfterClientLeft(id, events);
    checkClosedBackends(id, events);
  }

  private void checkOwnResponse(String id, List<HistoryEvent> events) {
    checks++;
    if (first(events, HistoryEvent.Kind.FOREIGN_RESPONSE) != null) {
      report("response of another request", id, events);
    }
  }

  /** Each request whose client stays gets its response in time, if the gateway has taken it. */
  private void checkFinalResponse(String id, History.Sent sent, List<HistoryEvent> events) {
    HistoryEvent written = first(events, HistoryEvent.Kind.SENT);
    if (written == null || first(events, HistoryEvent.Kind.CLIENT_LEFT) != null) {
      return;
    }
    checks++;
    HistoryEvent answered = first(events, HistoryEvent.Kind.ANSWERED);
    HistoryEvent ended = first(events, HistoryEvent.Kind.ENDED_UNANSWERED);
    if (answered != null && WRONG_STATUSES.contains(answered.detail())) {
      report("proper request answered by " + answered.detail(), id, events);
    }
    double dueAtMs = written.timeMs() + sent.timeoutMs() + SoakClient.SLACK_MS;
    if (first(events, HistoryEvent.Kind.NO_RESPONSE) != null) {
      reportUnlessLate("no response", id, events, written.timeMs(), dueAtMs);
    } else if (answered != null && answered.timeMs() > dueAtMs) {
      reportUnlessLate("late response", id, events, written.timeMs(), answered.timeMs());
    } else if (ended != null && circumstances.wasKilled(sent.gateway(), ended.timeMs())) {
      return;
    } else if (ended != null && first(events, HistoryEvent.Kind.EXECUTED) != null) {
      report("lost after it was forwarded", id, events);
    } else if (ended != null && !mayEndUnanswered(sent, ended)) {
      report("connection closed without a response", id, events);
    }
  }

  /** Whether the gateway may have closed the connection before it read the request. */
  private boolean mayEndUnanswered(History.Sent sent, HistoryEvent ended) {
    boolean behindLastResponse = ended.detail().startsWith("behind");
    boolean shutInCrowd = circumstances.crowded() && sent.first();
    return behindLastResponse
        || shutInCrowd
        || sent.idleMs() >= MAY_CLOSE_IDLE_MS
        || circumstances.wasLeaving(sent.gateway(), ended.timeMs());
  }

  private void checkExecutions(String id, History.Sent sent, List<HistoryEvent> events) {
    checks++;
    long executions =
        events.stream().filter(event -> event.kind() == HistoryEvent.Kind.EXECUTED).count();
    if (sent.kind() == RequestKind.NOT_IDEMPOTENT && executions > 1) {
      report("executed " + executions + " times", id, events);
    }
    HistoryEvent answered = first(events, HistoryEvent.Kind.ANSWERED);
    boolean rejected = answered != null && REJECTIONS.contains(answered.detail());
    if (sent.kind() == RequestKind.NOT_IDEMPOTENT && executions > 0 && rejected) {
      report("rejected after an execution", id, events);
    }
  }

  private void checkAfterClientLeft(String id, List<HistoryEvent> events) {
    HistoryEvent left = first(events, HistoryEvent.Kind.CLIENT_LEFT);
    if (left == null) {
      return;
    }
    checks++;
    for (HistoryEvent event : events) {
      if (event.isAttempt() && event.timeMs() > left.timeMs() + AFTER_CLIENT_LEFT_MS) {
        reportUnlessLate(
            "attempt after its client left", id, events, left.timeMs(), event.timeMs());
      }
    }
  }

  private void checkClosedBackends(String id, List<HistoryEvent> events) {
    for (HistoryEvent event : events) {
      if (!event.isAttempt()) {
        continue;
      }
      checks++;
      for (SoakDiscovery.ClosedSpan span : circumstances.closedSpans()) {
        boolean within = event.timeMs() > span.fromMs() && event.timeMs() < span.untilMs();
        if (within && event.peer().equals("backend-" + span.backend())) {
          reportUnlessLate(
              "attempt at a backend that drains or is gone",
              id,
              events,
              span.fromMs(),
              event.timeMs());
        }
      }
    }
  }

  private void checkRejections() {
    RejectionSpans rejections = new RejectionSpans();
    history.requests().forEach((id, sent) -> rejections.add(sent, history.of(id)));
    checks++;
    for (RejectionSpans.Span span : rejections.longerThan(MAX_REJECTING_MS, MIN_REJECTIONS)) {
      boolean excused =
          circumstances.crowded()
              || circumstances.wasLeaving(span.gateway(), span.fromMs())
              || circumstances.wasLeaving(span.gateway(), span.untilMs());
      if (!excused) {
        violations.add(
            new Violation("rejects all", "gateway " + span.gateway(), List.of(span.toString())));
      }
    }
  }

  private void checkHardLimit() {
    HardLimitRule limit = new HardLimitRule();
    history
        .requests()
        .forEach(
            (id, sent) -> {
              if (sent.customer() == Customer.HARD_LIMITED) {
                limit.add(history.of(id));
              }
            });
    checks++;
    double lowest = limit.lowestLevel();
    if (lowest < -HardLimitRule.SLACK_UNITS) {
      violations.add(
          new Violation("hard limit", "customer", List.of("lowest level " + lowest + " units")));
    }
  }

  private static HistoryEvent first(List<HistoryEvent> events, HistoryEvent.Kind kind) {
    return events.stream().filter(event -> event.kind() == kind).findFirst().orElse(null);
  }

  private void reportUnlessLate(
      String rule, String id, List<HistoryEvent> events, double fromMs, double toMs) {
    if (history.lateness().mostBetween(fromMs, toMs) > MAX_LATENESS_MS) {
      voided++;
    } else {
      report(rule, id, events);
    }
  }

  private void report(String rule, String id, List<HistoryEvent> events) {
    List<String> lines = new ArrayList<>();
    lines.add(String.valueOf(history.requests().get(id)));
    events.forEach(event -> lines.add(event.toString()));
    violations.add(new Violation(rule, id, lines));
  }
}
