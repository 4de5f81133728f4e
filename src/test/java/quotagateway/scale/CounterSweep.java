package quotagateway.scale;

import java.util.SplittableRandom;

/**
 * Measures the processor time of a counter shard per call, without sockets (parsing a line,
 * applying the increment and formatting the reply), and the memory of the names that the shard
 * holds. The shard is {@link CounterShard}, so the figures are those of a plain implementation.
 */
final class CounterSweep implements Sweep {

  private static final int BATCHES = 20;
  private static final int BATCH_SIZE = 50_000;
  private static final long FIRST_WINDOW = 72_000_000;

  /** Ignores replies. */
  private static final class IgnoringHandler implements CounterShard.ReplyHandler {
    @Override
    public void onReply(String text) {
      // The reply is not needed.
    }

    @Override
    public void onConnectionRefused() {
      throw new IllegalStateException("the shard is up");
    }

    @Override
    public void onReset() {
      throw new IllegalStateException("the shard is up");
    }
  }

  @Override
  public String name() {
    return "counter";
  }

  @Override
  public void run(Plan plan, Report report) {
    for (int names :
        plan.sizes(new int[] {1_000, 5_000}, new int[] {1_000, 10_000, 100_000, 1_000_000})) {
      Measurement.Subject subject = plan.subject(this, "names held");
      VirtualTime time = new VirtualTime(0);
      CounterShard shard = new CounterShard(time, 0, 0);
      String[] lines = new String[names];
      for (int i = 0; i < names; i++) {
        lines[i] =
            "incr "
                + Long.toString(SimulatedFleet.customerNumber(i), 36)
                + ':'
                + (FIRST_WINDOW + i % 3)
                + " 2 60000";
      }
      CounterShard.ReplyHandler handler = new IgnoringHandler();
      long initialHeap = Stopwatch.liveHeap();
      for (String line : lines) {
        shard.call(line, handler);
        time.runUntil(0);
      }
      report.add(
          Measurement.of(
              subject,
              names,
              "heap_bytes_each",
              Math.max(0, Stopwatch.liveHeap() - initialHeap) / (double) names));
      report.add(
          Measurement.of(
              subject, names, "call_us", measureCalls(shard, time, lines, handler, plan)));
    }
    report.print(name());
  }

  private static double[] measureCalls(
      CounterShard shard,
      VirtualTime time,
      String[] lines,
      CounterShard.ReplyHandler handler,
      Plan plan) {
    SplittableRandom random = new SplittableRandom(plan.seed());
    int batchSize = plan.quick() ? BATCH_SIZE / 50 : BATCH_SIZE;
    double[] times =
        Stopwatch.repeat(
            BATCHES,
            plan.secondsEach(),
            () -> {
              for (int i = 0; i < batchSize; i++) {
                shard.call(lines[random.nextInt(lines.length)], handler);
                time.runUntil(0);
              }
            });
    for (int i = 0; i < times.length; i++) {
      times[i] *= 1000.0 / batchSize;
    }
    return times;
  }
}
