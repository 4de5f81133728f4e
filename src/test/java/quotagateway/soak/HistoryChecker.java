package quotagateway.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/** Checks the history of a run against the guarantees of the service. */
final class HistoryChecker {

  /**
   * An attempt that reaches a backend later than this after its client disconnected is a violation.
   */
  private static final double MAX_ATTEMPT_DELAY_AFTER_DISCONNECT_MS = 150;

  /** A gateway may close a connection that has been idle for at least this long. */
  private static final double MIN_IDLE_CLOSE_MS = 2_000;

  /** A reachable gateway that has backends must not reject every request for this long. */
  private static final double MAX_REJECTION_SPAN_MS = 1_000;

  /** Statuses that a valid request never gets, whatever happens to the gateway's peers. */
  private static final Set<String> UNEXPECTED_STATUSES = Set.of("400", "408", "413", "500");

  /** Statuses after which a client sends its request again. */
  private static final Set<String> REJECTION_STATUSES = Set.of("429", "503");

  private static final int MIN_REJECTIONS_IN_SPAN = 15;

  /** Event times are not reliable if this process was delayed by more than this. */
  private static final double MAX_PROCESS_DELAY_MS = 40;

  /** What the rules need to know about a run in addition to its history. */
  interface RunContext {

    /** Returns whether a gateway was draining or shutting down at that time. */
    boolean wasDrainingOrStopping(int gateway, double timeMs);

    /**
     * Returns whether a gateway was killed by SIGKILL at that time. Its clients are responsible for
     * repeating the requests that it had in flight.
     */
    boolean wasKilled(int gateway, double timeMs);

    /** Returns the spans in which backends were closed to requests. */
    List<SoakDiscovery.ClosedSpan> closedSpans();

    /** Returns whether clients use up a gateway's descriptors with idle connections. */
    boolean exhaustsDescriptors();
  }

  private final History history;
  private final RunContext context;
  private final List<Violation> violations = new ArrayList<>();
  private int checks;
  private int voided;

  HistoryChecker(History history, RunContext context) {
    this.history = history;
    this.context = context;
  }

  /** Returns the number of checks made, voided ones included. */
  int checks() {
    return checks;
  }

  /** Returns the number of failed checks that are voided because this process was delayed. */
  int voided() {
    return voided;
  }

  /** Checks all requests and returns the violations found. */
  List<Violation> check() {
    history.requests().forEach(this::checkRequest);
    checkRejectionSpans();
    checkHardLimit();
    return violations;
  }

  private void checkRequest(String id, History.Sent sent) {
    List<HistoryEvent> events = history.eventsOf(id);
    checkResponseMatchesRequest(id, events);
    checkFinalResponse(id, sent, events);
    checkExecutions(id, sent, events);
    checkAttemptsAfterDisconnect(id, events);
    checkAttemptsAtClosedBackends(id, events);
  }

  private void checkResponseMatchesRequest(String id, List<HistoryEvent> events) {
    checks++;
    if (firstEvent(events, HistoryEvent.Kind.FOREIGN_RESPONSE) != null) {
      addViolation("response belongs to another request", id, events);
    }
  }

  /**
   * Checks that a request gets its response in time if its client stays connected and the gateway
   * read the request.
   */
  private void checkFinalResponse(String id, History.Sent sent, List<HistoryEvent> events) {
    HistoryEvent sentEvent = firstEvent(events, HistoryEvent.Kind.SENT);
    if (sentEvent == null || firstEvent(events, HistoryEvent.Kind.CLIENT_LEFT) != null) {
      return;
    }
    checks++;
    HistoryEvent responded = firstEvent(events, HistoryEvent.Kind.ANSWERED);
    HistoryEvent closed = firstEvent(events, HistoryEvent.Kind.ENDED_UNANSWERED);
    if (responded != null && UNEXPECTED_STATUSES.contains(responded.detail())) {
      addViolation("valid request got status " + responded.detail(), id, events);
    }
    double dueAtMs = sentEvent.timeMs() + sent.timeoutMs() + SoakClient.RESPONSE_SLACK_MS;
    if (firstEvent(events, HistoryEvent.Kind.NO_RESPONSE) != null) {
      reportUnlessDelayed("no response", id, events, sentEvent.timeMs(), dueAtMs);
    } else if (responded != null && responded.timeMs() > dueAtMs) {
      reportUnlessDelayed("late response", id, events, sentEvent.timeMs(), responded.timeMs());
    } else if (closed != null && context.wasKilled(sent.gateway(), closed.timeMs())) {
      return;
    } else if (closed != null && firstEvent(events, HistoryEvent.Kind.EXECUTED) != null) {
      addViolation("request lost after it was forwarded", id, events);
    } else if (closed != null && !mayCloseWithoutResponse(sent, closed)) {
      addViolation("connection closed without a response", id, events);
    }
  }

  /** Returns whether the gateway may have closed the connection before it read the request. */
  private boolean mayCloseWithoutResponse(History.Sent sent, HistoryEvent closed) {
    boolean pipelinedAfterOther = closed.detail().startsWith("pipelined after");
    boolean newConnectionWithoutDescriptors = context.exhaustsDescriptors() && sent.first();
    return pipelinedAfterOther
        || newConnectionWithoutDescriptors
        || sent.idleMs() >= MIN_IDLE_CLOSE_MS
        || context.wasDrainingOrStopping(sent.gateway(), closed.timeMs());
  }

  private void checkExecutions(String id, History.Sent sent, List<HistoryEvent> events) {
    checks++;
    long executions =
        events.stream().filter(event -> event.kind() == HistoryEvent.Kind.EXECUTED).count();
    if (sent.kind() == RequestKind.NOT_IDEMPOTENT && executions > 1) {
      addViolation("non-idempotent request executed " + executions + " times", id, events);
    }
    HistoryEvent responded = firstEvent(events, HistoryEvent.Kind.ANSWERED);
    boolean rejected = responded != null && REJECTION_STATUSES.contains(responded.detail());
    if (sent.kind() == RequestKind.NOT_IDEMPOTENT && executions > 0 && rejected) {
      addViolation("request rejected after it was executed", id, events);
    }
  }

  private void checkAttemptsAfterDisconnect(String id, List<HistoryEvent> events) {
    HistoryEvent disconnected = firstEvent(events, HistoryEvent.Kind.CLIENT_LEFT);
    if (disconnected == null) {
      return;
    }
    checks++;
    for (HistoryEvent event : events) {
      if (event.isAttempt()
          && event.timeMs() > disconnected.timeMs() + MAX_ATTEMPT_DELAY_AFTER_DISCONNECT_MS) {
        reportUnlessDelayed(
            "attempt after the client disconnected",
            id,
            events,
            disconnected.timeMs(),
            event.timeMs());
      }
    }
  }

  private void checkAttemptsAtClosedBackends(String id, List<HistoryEvent> events) {
    for (HistoryEvent event : events) {
      if (!event.isAttempt()) {
        continue;
      }
      checks++;
      for (SoakDiscovery.ClosedSpan span : context.closedSpans()) {
        boolean within = event.timeMs() > span.fromMs() && event.timeMs() < span.untilMs();
        if (within && event.peer().equals("backend-" + span.backend())) {
          reportUnlessDelayed(
              "attempt at a draining or removed backend",
              id,
              events,
              span.fromMs(),
              event.timeMs());
        }
      }
    }
  }

  private void checkRejectionSpans() {
    RejectionSpans rejections = new RejectionSpans();
    history.requests().forEach((id, sent) -> rejections.addRequest(sent, history.eventsOf(id)));
    checks++;
    for (RejectionSpans.Span span :
        rejections.findSpans(MAX_REJECTION_SPAN_MS, MIN_REJECTIONS_IN_SPAN)) {
      boolean allowed =
          context.exhaustsDescriptors()
              || context.wasDrainingOrStopping(span.gateway(), span.fromMs())
              || context.wasDrainingOrStopping(span.gateway(), span.untilMs());
      if (!allowed) {
        violations.add(
            new Violation(
                "all requests rejected", "gateway " + span.gateway(), List.of(span.toString())));
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
                limit.addRequest(history.eventsOf(id));
              }
            });
    checks++;
    double lowestUnits = limit.lowestLevelUnits();
    if (lowestUnits < -HardLimitRule.SLACK_UNITS) {
      violations.add(
          new Violation(
              "hard limit exceeded",
              "customer",
              List.of("lowest bucket level " + lowestUnits + " units")));
    }
  }

  private static HistoryEvent firstEvent(List<HistoryEvent> events, HistoryEvent.Kind kind) {
    return events.stream().filter(event -> event.kind() == kind).findFirst().orElse(null);
  }

  private void reportUnlessDelayed(
      String rule, String id, List<HistoryEvent> events, double fromMs, double toMs) {
    if (history.latenessMonitor().maxLatenessMs(fromMs, toMs) > MAX_PROCESS_DELAY_MS) {
      voided++;
    } else {
      addViolation(rule, id, events);
    }
  }

  private void addViolation(String rule, String id, List<HistoryEvent> events) {
    List<String> lines = new ArrayList<>();
    lines.add(String.valueOf(history.requests().get(id)));
    events.forEach(event -> lines.add(event.toString()));
    violations.add(new Violation(rule, id, lines));
  }
}
