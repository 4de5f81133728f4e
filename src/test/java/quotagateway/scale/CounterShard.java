package quotagateway.scale;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/**
 * A model of one shard of the counter that speaks the published protocol. The shard processes calls
 * one at a time, each in the same time, and rejects calls when its queue is too long.
 */
final class CounterShard {

  /** State of the shard. SILENT: calls are lost without a reply. DOWN: connections are refused. */
  enum Health {
    UP,
    SILENT,
    DOWN
  }

  /** Receives the outcome of a call; not invoked while the shard is silent. */
  interface ReplyHandler {
    /** Handles the line of the reply, without its line terminator. */
    void onReply(String text);

    /** Handles a refused connection: the increment was not applied. */
    void onConnectionRefused();

    /** Handles a connection reset after the call was sent: the increment may have been applied. */
    void onReset();
  }

  private static final double MAX_TTL_MS = 60_000;
  private static final int MAX_NAME_BYTES = 64;
  private static final double MAX_AMOUNT = 1e9;

  private record Count(double total, double expiresMs) {}

  private final VirtualTime time;
  private final double callMs;
  private final double maxQueuedMs;
  private final Map<String, Count> counts = new HashMap<>();
  private Health health = Health.UP;
  private double freeAtMs;
  private int incarnation;
  private long calls;
  private long bytes;

  /**
   * Creates a shard.
   *
   * @param time virtual time on which the shard runs
   * @param callMs processing time of each call
   * @param maxQueuedMs maximum time a call may wait; calls that would wait longer are rejected
   */
  CounterShard(VirtualTime time, double callMs, double maxQueuedMs) {
    this.time = time;
    this.callMs = callMs;
    this.maxQueuedMs = maxQueuedMs;
  }

  long calls() {
    return calls;
  }

  /** Returns the bytes of all calls and replies so far. */
  long bytes() {
    return bytes;
  }

  /** Removes expired names and returns the number of the others. */
  int names() {
    counts.values().removeIf(count -> count.expiresMs <= time.now());
    return counts.size();
  }

  void fail(Health newHealth) {
    health = newHealth;
    incarnation++;
  }

  /** Restarts the shard, with its counts kept or cleared. */
  void restart(boolean keepCounts) {
    health = Health.UP;
    freeAtMs = time.now();
    if (!keepCounts) {
      counts.clear();
    }
  }

  /** Receives one call, a line without its line terminator, at the current virtual time. */
  void call(String line, ReplyHandler handler) {
    if (health == Health.DOWN) {
      handler.onConnectionRefused();
      return;
    }
    if (health == Health.SILENT) {
      return;
    }
    calls++;
    bytes += line.length() + 2;
    double waitMs = Math.max(0, freeAtMs - time.now());
    if (waitMs > maxQueuedMs) {
      reply("busy", handler);
      return;
    }
    freeAtMs = time.now() + waitMs + callMs;
    int callIncarnation = incarnation;
    time.scheduleAt(
        freeAtMs,
        () -> {
          if (incarnation != callIncarnation) {
            handleFailure(handler);
          } else {
            reply(increment(line), handler);
          }
        });
  }

  private void handleFailure(ReplyHandler handler) {
    if (health == Health.DOWN) {
      handler.onReset();
    }
  }

  private void reply(String text, ReplyHandler handler) {
    bytes += text.length() + 2;
    handler.onReply(text);
  }

  private String increment(String line) {
    String[] words = line.split(" ", -1);
    if (words.length != 4 || !words[0].equals("incr") || words[1].length() > MAX_NAME_BYTES) {
      return "error";
    }
    double amount;
    double ttlMs;
    try {
      amount = Double.parseDouble(words[2]);
      ttlMs = Math.min(MAX_TTL_MS, Double.parseDouble(words[3]));
    } catch (NumberFormatException e) {
      return "error";
    }
    if (!(Math.abs(amount) <= MAX_AMOUNT) || !(ttlMs >= 1)) {
      return "error";
    }
    Count previous = counts.get(words[1]);
    boolean isNew = previous == null || previous.expiresMs <= time.now();
    Count updated =
        isNew
            ? new Count(amount, time.now() + ttlMs)
            : new Count(previous.total + amount, previous.expiresMs);
    counts.put(words[1], updated);
    return "ok " + formatTotal(updated.total);
  }

  private static String formatTotal(double total) {
    return total == Math.rint(total) && Math.abs(total) < 1e7
        ? Long.toString((long) total)
        : String.format(Locale.ROOT, "%.7g", total);
  }
}
