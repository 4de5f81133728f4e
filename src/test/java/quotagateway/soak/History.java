package quotagateway.soak;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Records the events that all stand-ins observe, by request and on one clock, and the scheduling
 * delays of this process. Thread-safe.
 */
final class History {

  /**
   * A request that a client sent.
   *
   * @param gateway index of the gateway that the client is connected to
   * @param first whether the request belongs to the first batch on its connection
   * @param idleMs how long the connection had been idle before the request
   */
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
  private final LatenessMonitor latenessMonitor = new LatenessMonitor(this::nowMs);

  /** Returns the time since the start of the run. */
  double nowMs() {
    return (System.nanoTime() - startNanos) / NANOS_PER_MS;
  }

  LatenessMonitor latenessMonitor() {
    return latenessMonitor;
  }

  void recordRequest(String requestId, Sent request) {
    requests.put(requestId, request);
  }

  void recordEvent(String requestId, HistoryEvent.Kind kind, String peer, String detail) {
    events
        .computeIfAbsent(requestId, id -> new CopyOnWriteArrayList<>())
        .add(new HistoryEvent(nowMs(), kind, peer, detail));
  }

  /** Returns all requests, ordered by their identifiers. */
  Map<String, Sent> requests() {
    return new TreeMap<>(requests);
  }

  /** Returns the events of a request in the order in which they were recorded. */
  List<HistoryEvent> eventsOf(String requestId) {
    return events.getOrDefault(requestId, List.of());
  }
}
