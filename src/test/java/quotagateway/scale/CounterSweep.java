package quotagateway.scale;

import java.util.SplittableRandom;

/**
 * One shard's work for its calls, without sockets: reading a line, adding, and writing the answer;
 * and the memory of the names that it holds. The shard is the stand-in, so this is what a plain one
 * would need.
 */
final class CounterSweep implements Sweep {

  private static final int BATCHES = 20;
  private static final int BATCH = 50_000;
  private static final long FIRST_WINDOW = 72_000_000;

  /** Takes answers and forgets them. */
  private static final class Nobody implements CounterShard.Answer {
    @Override
    public void line(String text) {
      // Nobody waits for it.
    }

    @Override
    public void refused() {
      throw new IllegalStateException("the shard is up");
    }

    @Override
    public void cut() {
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
                + Long.toString(HollowFleet.customerNumber(i), 36)
                + ':'
                + (FIRST_WINDOW + i % 3)
                + " 2 60000";
      }
      CounterShard.Answer nobody = new Nobody();
      long before = Stopwatch.liveHeap();
      for (String line : lines) {
        shard.call(line, nobody);
        time.runUntil(0);
      }
      report.add(
          Measurement.of(
              subject,
              names,
              "heap_bytes_each",
              Math.max(0, Stopwatch.liveHeap() - before) / (double) names));
      report.add(
          Measurement.of(subject, names, "call_us", calls(shard, time, lines, nobody, plan)));
    }
    report.print(name());
  }

  private static double[] calls(
      CounterShard shard, VirtualTime time, String[] lines, CounterShard.Answer answer, Plan plan) {
    SplittableRandom random = new SplittableRandom(plan.seed());
    int batch = plan.quick() ? BATCH / 50 : BATCH;
    double[] times =
        Stopwatch.repeat(
            BATCHES,
            plan.secondsEach(),
            () -> {
              for (int i = 0; i < batch; i++) {
                shard.call(lines[random.nextInt(lines.length)], answer);
                time.runUntil(0);
              }
            });
    for (int i = 0; i < times.length; i++) {
      times[i] *= 1000.0 / batch;
    }
    return times;
  }
}
