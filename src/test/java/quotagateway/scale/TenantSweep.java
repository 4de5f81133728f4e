package quotagateway.scale;

import java.io.Writer;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import quotagateway.endpoint.EndpointListForm;
import quotagateway.policy.GatewayPolicy;
import quotagateway.policy.event.EndpointsUpdated;

/**
 * Measures the memory of customer accounts and the cost of a request by the number of customers
 * that one gateway has served within a minute.
 */
final class TenantSweep implements Sweep {

  private static final int BACKENDS = 200;
  private static final int BATCHES = 20;

  /**
   * Minimum number of accounts held for the heap measurement, so that other memory is negligible.
   */
  private static final int MIN_ACCOUNTS_HELD = 100_000;

  private static final int BATCH_SIZE = 10_000;

  @Override
  public String name() {
    return "tenants";
  }

  @Override
  public void run(Plan plan, Report report) {
    report.budget("heap_mb", 256);
    measure(
        plan.subject(this, "warm-up"), 5_000, plan, new Report(Writer.nullWriter(), System.out));
    for (int size :
        plan.sizes(
            new int[] {1_000, 5_000},
            new int[] {1_000, 3_000, 10_000, 30_000, 100_000, 300_000, 990_000})) {
      measure(plan.subject(this, "customers met"), size, plan, report);
    }
    report.print(name());
  }

  private static void measure(Measurement.Subject subject, int size, Plan plan, Report report) {
    int accounts = plan.quick() ? MIN_ACCOUNTS_HELD / 10 : MIN_ACCOUNTS_HELD;
    RequestCycle[] cycles = new RequestCycle[Math.max(1, accounts / size)];
    EndpointsUpdated endpointList =
        new EndpointsUpdated(
            EndpointListForm.CACHED_SNAPSHOT,
            new EndpointListModel(BACKENDS, 7070, plan.seed()).entries());
    for (int i = 0; i < cycles.length; i++) {
      GatewayPolicy policy = new GatewayPolicy(ScaleSettings.of(2_000, i), plan.seed());
      policy.start(0);
      policy.on(1, endpointList);
      cycles[i] = new RequestCycle(policy, 1_000, size);
      RequestCycle cycle = cycles[i];
      IntStream.range(0, BACKENDS).forEach(n -> cycle.serve(-1 - n, 1));
    }
    long initialHeap = Stopwatch.liveHeap();
    for (RequestCycle cycle : cycles) {
      IntStream.range(0, size).forEach(customer -> cycle.serve(customer, 1));
    }
    double heap = (Stopwatch.liveHeap() - initialHeap) / (double) cycles.length;
    RequestCycle cycle = cycles[0];
    report.add(Measurement.of(subject, size, "heap_bytes_each", heap / size));
    report.add(Measurement.of(subject, size, "heap_mb", heap / 1048576.0));
    report.add(Measurement.of(subject, size, "request_us", measureRequests(cycle, size, plan)));
  }

  /**
   * Measures requests of evenly drawn customers, so that accounts are read from scattered memory.
   */
  private static double[] measureRequests(RequestCycle cycle, int size, Plan plan) {
    SplittableRandom random = new SplittableRandom(plan.seed());
    int batchSize = plan.quick() ? BATCH_SIZE / 10 : BATCH_SIZE;
    double[] times =
        Stopwatch.repeat(
            BATCHES,
            plan.secondsEach(),
            () -> {
              for (int i = 0; i < batchSize; i++) {
                cycle.serve(random.nextInt(size), 1);
              }
            });
    if (cycle.rejected() > cycle.served() / 10) {
      throw new IllegalStateException(
          cycle.rejected() + " requests rejected, " + cycle.served() + " served");
    }
    for (int i = 0; i < times.length; i++) {
      times[i] *= 1000.0 / batchSize;
    }
    return times;
  }
}
