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
 * Discovery's agent with the list of backends, and since when each of them counts as notified to be
 * closed to new requests. Safe for all threads.
 */
final class SoakDiscovery implements Closeable {

  /** A change counts as notified at the latest this long after discovery had it. */
  private static final double NOTIFIED_AFTER_MS = 6_000;

  /** A change that is written to an open watch is in force after this. */
  private static final double IN_FORCE_AFTER_MS = 1_000;

  /** The gateways start with this version of the list. */
  static final int FIRST_VERSION = 7;

  private final History history;
  private final Map<Integer, Integer> ports = new TreeMap<>();
  private final Map<Integer, String> states = new TreeMap<>();

  /** Since when requests to a backend break the rule, by its number; absent while it serves. */
  private final Map<Integer, Double> closedFromMs = new ConcurrentHashMap<>();

  /** Spans in which a backend was closed, that are over. */
  private final List<ClosedSpan> closedSpans = new ArrayList<>();

  private final DiscoveryAgent agent;
  private int version = FIRST_VERSION;

  /** Until when watches may still be broken by what was done to them. */
  private double disturbedUntilMs = Double.NEGATIVE_INFINITY;

  /** When a backend was closed to requests. */
  record ClosedSpan(int backend, double fromMs, double untilMs) {}

  SoakDiscovery(History history, List<SoakBackend> backends) throws IOException {
    this.history = history;
    for (int i = 0; i < backends.size(); i++) {
      ports.put(i, backends.get(i).port());
      states.put(i, "active");
    }
    agent = new DiscoveryAgent(wholeList() + "\n", version);
  }

  int port() {
    return agent.port();
  }

  /** The list of those that are not left out, in discovery's form. */
  synchronized String wholeList() {
    String[] entries =
        states.entrySet().stream()
            .filter(backend -> !backend.getValue().equals("left"))
            .map(backend -> entry(backend.getKey()))
            .toArray(String[]::new);
    return EndpointListJson.list(version, true, entries);
  }

  private String entry(int backend) {
    return EndpointListJson.entry("s-" + backend, ports.get(backend), states.get(backend));
  }

  /** How many backends serve. */
  synchronized int serving() {
    return (int) states.values().stream().filter("active"::equals).count();
  }

  synchronized boolean serves(int backend) {
    return states.get(backend).equals("active");
  }

  /** Tells all watches that a backend drains or serves. */
  synchronized void change(int backend, String state) {
    set(backend, state);
    agent.become(wholeList() + "\n", version);
    agent.tell(EndpointListJson.list(version, false, entry(backend)) + "\n");
  }

  /** Ends all watches; the next ones get a whole list without that backend. */
  synchronized void leaveOut(int backend) {
    disturbedUntilMs = history.nowMs() + NOTIFIED_AFTER_MS;
    set(backend, "left");
    agent.become(wholeList() + "\n", version);
    agent.endWatches();
  }

  private void set(int backend, String state) {
    version++;
    states.put(backend, state);
    if (state.equals("active")) {
      Double from = closedFromMs.remove(backend);
      if (from != null) {
        closedSpans.add(new ClosedSpan(backend, from, history.nowMs()));
      }
    } else {
      double nowMs = history.nowMs();
      double delayMs = nowMs < disturbedUntilMs ? NOTIFIED_AFTER_MS : IN_FORCE_AFTER_MS;
      closedFromMs.putIfAbsent(backend, nowMs + delayMs);
    }
  }

  /** All spans in which requests to a backend break the rule. */
  synchronized List<ClosedSpan> closedSpans() {
    List<ClosedSpan> spans = new ArrayList<>(closedSpans);
    closedFromMs.forEach(
        (backend, from) -> spans.add(new ClosedSpan(backend, from, Double.POSITIVE_INFINITY)));
    return spans;
  }

  /** The open watches fall silent for good, and new ones get no answer while it lasts. */
  synchronized void silence(boolean now) {
    if (now) {
      agent.abandonWatches();
    }
    agent.silence(now);
    postponeNotification(now);
  }

  /** Watches end, and new ones are answered by errors while it lasts. */
  synchronized void fail(boolean now) {
    agent.fail(now);
    postponeNotification(now);
  }

  /** What discovery could not be asked for counts as notified 6 s after it can be again. */
  private void postponeNotification(boolean disturbed) {
    disturbedUntilMs = disturbed ? Double.POSITIVE_INFINITY : history.nowMs() + NOTIFIED_AFTER_MS;
    closedFromMs.replaceAll(
        (backend, from) -> from > history.nowMs() ? history.nowMs() + NOTIFIED_AFTER_MS : from);
  }

  @Override
  public void close() throws IOException {
    agent.close();
  }
}
