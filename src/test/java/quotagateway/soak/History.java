package quotagateway.soak;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * What all stand-ins saw, by request, on one clock, and how late this process itself ran. Safe for
 * all threads.
 */
final class History {

  /** One request as its client sent it. */
  record Sent(
      RequestKind kind,
      Customer customer,
      int gateway,
      double timeoutMs,
      boolean first,
      double idleMs) {}

  private static final double NANOS_PER_MS = 1e6;

  private final long startNanos = System.nanoTime();
  private final Map<String, Sent> requests = new ConcurrentHashMap<>();
  private final Map<String, List<HistoryEvent>> events = new ConcurrentHashMap<>();
  private final LatenessMonitor lateness = new LatenessMonitor(this::nowMs);

  /** Since the start of the run. */
  double nowMs() {
    return (System.nanoTime() - startNanos) / NANOS_PER_MS;
  }

  LatenessMonitor lateness() {
    return lateness;
  }

  void open(String requestId, Sent request) {
    requests.put(requestId, request);
  }

  void add(String requestId, HistoryEvent.Kind kind, String peer, String detail) {
    events
        .computeIfAbsent(requestId, id -> new CopyOnWriteArrayList<>())
        .add(new HistoryEvent(nowMs(), kind, peer, detail));
  }

  /** All requests, in the order of their identifiers. */
  Map<String, Sent> requests() {
    return new TreeMap<>(requests);
  }

  /** What was seen of a request, in the order in which it was noted. */
  List<HistoryEvent> of(String requestId) {
    return events.getOrDefault(requestId, List.of());
  }
}
