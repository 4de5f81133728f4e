package quotagateway.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Finds spans in which a gateway rejected all requests without attempting a backend. */
final class RejectionSpans {

  private static final int OK = 200;

  /**
   * A final response of a gateway.
   *
   * @param served whether the request was attempted at a backend, or succeeded
   */
  private record Response(double timeMs, boolean served) {}

  /**
   * A span in which a gateway rejected all requests.
   *
   * @param rejections number of requests rejected in the span
   */
  record Span(int gateway, double fromMs, double untilMs, int rejections) {}

  private final Map<Integer, List<Response>> responsesByGateway = new TreeMap<>();

  /** Adds a request, unless its customer has a hard limit and may have exceeded it. */
  void addRequest(History.Sent sent, List<HistoryEvent> events) {
    if (sent.customer() == Customer.HARD_LIMITED) {
      return;
    }
    boolean attempted = events.stream().anyMatch(HistoryEvent::isAttempt);
    events.stream()
        .filter(event -> event.kind() == HistoryEvent.Kind.ANSWERED)
        .map(event -> new Response(event.timeMs(), attempted || status(event) == OK))
        .forEach(
            response ->
                responsesByGateway
                    .computeIfAbsent(sent.gateway(), gateway -> new ArrayList<>())
                    .add(response));
  }

  private static int status(HistoryEvent event) {
    return Integer.parseInt(event.detail());
  }

  /** Returns the spans that last at least {@code minMs} and have at least {@code minRejections}. */
  List<Span> findSpans(double minMs, int minRejections) {
    List<Span> spans = new ArrayList<>();
    responsesByGateway.forEach(
        (gateway, responses) -> {
          responses.sort(Comparator.comparingDouble(Response::timeMs));
          int start = 0;
          for (int index = 0; index <= responses.size(); index++) {
            if (index == responses.size() || responses.get(index).served) {
              addSpan(gateway, responses.subList(start, index), minMs, minRejections, spans);
              start = index + 1;
            }
          }
        });
    return spans;
  }

  private static void addSpan(
      int gateway, List<Response> rejected, double minMs, int minRejections, List<Span> spans) {
    if (rejected.size() < minRejections) {
      return;
    }
    double fromMs = rejected.get(0).timeMs;
    double untilMs = rejected.get(rejected.size() - 1).timeMs;
    if (untilMs - fromMs >= minMs) {
      spans.add(new Span(gateway, fromMs, untilMs, rejected.size()));
    }
  }
}
