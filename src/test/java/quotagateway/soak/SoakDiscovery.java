package quotagateway.soak;

import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import quotagateway.testing.DiscoveryAgent;
import quotagateway.testing.EndpointListJson;

/**
 * A fake discovery agent that serves the list of backends and keeps the spans in which the gateways
 * must know that a backend is closed to new requests. Thread-safe.
 */
final class SoakDiscovery implements Closeable {

  /**
   * Time that gateways have for a change made during a disruption of discovery, or within this time
   * after its end. A removal ends all watches, so it counts as a disruption that ends at once.
   */
  private static final double MAX_NOTIFICATION_DELAY_MS = 6_000;

  /** Time that gateways have for any other change, which is sent on their open watches. */
  private static final double MAX_APPLY_DELAY_MS = 1_000;

  /** The version of the endpoint list with which the gateways start. */
  static final int INITIAL_VERSION = 7;

  private final History history;
  private final Map<Integer, Integer> ports = new TreeMap<>();
  private final Map<Integer, String> states = new TreeMap<>();

  /**
   * The time from which an attempt at a backend is a violation, by the backend's index. Has no
   * entry for a serving backend.
   */
  private final Map<Integer, Double> closedFromMs = new ConcurrentHashMap<>();

  /** Past spans in which a backend was closed to requests. */
  private final List<ClosedSpan> closedSpans = new ArrayList<>();

  private final DiscoveryAgent agent;
  private int version = INITIAL_VERSION;

  /** Until this time, a disruption may still keep watches from delivering changes. */
  private double disruptedUntilMs = Double.NEGATIVE_INFINITY;

  /** A span in which an attempt at a backend is a violation. */
  record ClosedSpan(int backend, double fromMs, double untilMs) {}

  SoakDiscovery(History history, List<SoakBackend> backends) throws IOException {
    this.history = history;
    for (int i = 0; i < backends.size(); i++) {
      ports.put(i, backends.get(i).port());
      states.put(i, "active");
    }
    agent = new DiscoveryAgent(completeList() + "\n", version);
  }

  int port() {
    return agent.port();
  }

  /** Returns the complete list, without removed backends, in discovery's format. */
  synchronized String completeList() {
    String[] entries =
        states.entrySet().stream()
            .filter(backend -> !backend.getValue().equals("left"))
            .map(backend -> formatEntry(backend.getKey()))
            .toArray(String[]::new);
    return EndpointListJson.list(version, true, entries);
  }

  private String formatEntry(int backend) {
    return EndpointListJson.entry("s-" + backend, ports.get(backend), states.get(backend));
  }

  /** Returns the number of serving backends. */
  synchronized int servingCount() {
    return (int) states.values().stream().filter("active"::equals).count();
  }

  synchronized boolean isServing(int backend) {
    return states.get(backend).equals("active");
  }

  /** Sends all watches a delta saying that a backend drains or serves. */
  synchronized void sendState(int backend, String state) {
    setState(backend, state);
    agent.setSnapshot(completeList() + "\n", version);
    agent.send(EndpointListJson.list(version, false, formatEntry(backend)) + "\n");
  }

  /** Removes a backend from the list and ends all watches; new watches get the complete list. */
  synchronized void removeBackend(int backend) {
    disruptedUntilMs = history.nowMs() + MAX_NOTIFICATION_DELAY_MS;
    setState(backend, "left");
    agent.setSnapshot(completeList() + "\n", version);
    agent.endWatches();
  }

  private void setState(int backend, String state) {
    version++;
    states.put(backend, state);
    if (state.equals("active")) {
      Double fromMs = closedFromMs.remove(backend);
      if (fromMs != null) {
        closedSpans.add(new ClosedSpan(backend, fromMs, history.nowMs()));
      }
    } else {
      double nowMs = history.nowMs();
      double delayMs = nowMs < disruptedUntilMs ? MAX_NOTIFICATION_DELAY_MS : MAX_APPLY_DELAY_MS;
      closedFromMs.putIfAbsent(backend, nowMs + delayMs);
    }
  }

  /** Returns all spans in which an attempt at a backend is a violation, open ones included. */
  synchronized List<ClosedSpan> closedSpans() {
    List<ClosedSpan> spans = new ArrayList<>(closedSpans);
    closedFromMs.forEach(
        (backend, fromMs) -> spans.add(new ClosedSpan(backend, fromMs, Double.POSITIVE_INFINITY)));
    return spans;
  }

  /**
   * Starts or ends a silence of discovery. Watches that are open at its start stay silent for good;
   * new ones get no response until it ends.
   */
  synchronized void setSilent(boolean silent) {
    if (silent) {
      agent.abandonWatches();
    }
    agent.setSilent(silent);
    postponeClosedSpans(silent);
  }

  /** Starts or ends a failure of discovery: watches end, and new ones get errors until it ends. */
  synchronized void setFailing(boolean failing) {
    agent.setFailing(failing);
    postponeClosedSpans(failing);
  }

  /**
   * Postpones the times from which attempts at closed backends are violations. At the start and at
   * the end of a disruption, each such time that is still to come is set to {@link
   * #MAX_NOTIFICATION_DELAY_MS} from now, since the disruption may have held the change back.
   */
  private void postponeClosedSpans(boolean disrupted) {
    disruptedUntilMs =
        disrupted ? Double.POSITIVE_INFINITY : history.nowMs() + MAX_NOTIFICATION_DELAY_MS;
    closedFromMs.replaceAll(
        (backend, fromMs) ->
            fromMs > history.nowMs() ? history.nowMs() + MAX_NOTIFICATION_DELAY_MS : fromMs);
  }

  @Override
  public void close() throws IOException {
    agent.close();
  }
}
