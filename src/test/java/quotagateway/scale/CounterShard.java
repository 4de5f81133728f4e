package quotagateway.scale;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/**
 * A stand-in for one shard of the counter, by the published protocol: calls have their turn one
 * after the other, each costs the same time, and a queue that is too long turns calls away.
 */
final class CounterShard {

  /**
   * How a shard may fail. SILENT: calls are lost and nothing is said. DOWN: connections are
   * refused.
   */
  enum Health {
    UP,
    SILENT,
    DOWN
  }

  /** What becomes of a call; nothing of it is told while the shard is silent. */
  interface Answer {
    /** The answer's line, without its end. */
    void line(String text);

    /** The connection was refused, so nothing was added. */
    void refused();

    /** The connection ended after the call was written: it may have been added. */
    void cut();
  }

  private static final double LONGEST_LIFE_MS = 60_000;
  private static final int MAX_NAME_BYTES = 64;
  private static final double MAX_AMOUNT = 1e9;

  private record Count(double total, double untilMs) {}

  private final VirtualTime time;
  private final double callMs;
  private final double longestQueueMs;
  private final Map<String, Count> counts = new HashMap<>();
  private Health health = Health.UP;
  private double freeAtMs;
  private int life;
  private long calls;
  private long bytes;

  /**
   * A shard that takes callMs for each call, and turns away what would wait longer than
   * longestQueueMs.
   */
  CounterShard(VirtualTime time, double callMs, double longestQueueMs) {
    this.time = time;
    this.callMs = callMs;
    this.longestQueueMs = longestQueueMs;
  }

  long calls() {
    return calls;
  }

  /** Bytes of the calls and of their answers. */
  long bytes() {
    return bytes;
  }

  /** Names whose life has not run out. */
  int names() {
    counts.values().removeIf(count -> count.untilMs <= time.now());
    return counts.size();
  }

  void fail(Health how) {
    health = how;
    life++;
  }

  /** Comes back, with the counts that it had or with none. */
  void restart(boolean keepsCounts) {
    health = Health.UP;
    freeAtMs = time.now();
    if (!keepsCounts) {
      counts.clear();
    }
  }

  /** Takes one line, without its end, at the present moment. */
  void call(String line, Answer answer) {
    if (health == Health.DOWN) {
      answer.refused();
      return;
    }
    if (health == Health.SILENT) {
      return;
    }
    calls++;
    bytes += line.length() + 2;
    double waitMs = Math.max(0, freeAtMs - time.now());
    if (waitMs > longestQueueMs) {
      reply("busy", answer);
      return;
    }
    freeAtMs = time.now() + waitMs + callMs;
    int begun = life;
    time.at(
        freeAtMs,
        () -> {
          if (life != begun) {
            lost(answer);
          } else {
            reply(add(line), answer);
          }
        });
  }

  private void lost(Answer answer) {
    if (health == Health.DOWN) {
      answer.cut();
    }
  }

  private void reply(String text, Answer answer) {
    bytes += text.length() + 2;
    answer.line(text);
  }

  private String add(String line) {
    String[] words = line.split(" ", -1);
    if (words.length != 4 || !words[0].equals("incr") || words[1].length() > MAX_NAME_BYTES) {
      return "error";
    }
    double amount;
    double lifeMs;
    try {
      amount = Double.parseDouble(words[2]);
      lifeMs = Math.min(LONGEST_LIFE_MS, Double.parseDouble(words[3]));
    } catch (NumberFormatException e) {
      return "error";
    }
    if (!(Math.abs(amount) <= MAX_AMOUNT) || !(lifeMs >= 1)) {
      return "error";
    }
    Count before = counts.get(words[1]);
    boolean fresh = before == null || before.untilMs <= time.now();
    Count after =
        fresh
            ? new Count(amount, time.now() + lifeMs)
            : new Count(before.total + amount, before.untilMs);
    counts.put(words[1], after);
    return "ok " + sevenDigits(after.total);
  }

  private static String sevenDigits(double total) {
    return total == Math.rint(total) && Math.abs(total) < 1e7
        ? Long.toString((long) total)
        : String.format(Locale.ROOT, "%.7g", total);
  }
}
