package quotagateway.scale;

import java.io.Writer;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import quotagateway.endpoint.EndpointListForm;
import quotagateway.policy.GatewayPolicy;
import quotagateway.policy.event.EndpointsUpdated;

/**
 * Customers that one gateway has met within a minute: memory of their accounts, and cost of a
 * request.
 */
final class TenantSweep implements Sweep {

  private static final int BACKENDS = 200;
  private static final int BATCHES = 20;

  /** Accounts held together when their heap is measured: enough that nothing else matters. */
  private static final int MIN_HELD = 100_000;

  private static final int MAX_BATCH = 10_000;

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
    int held = plan.quick() ? MIN_HELD / 10 : MIN_HELD;
    RequestCycle[] copies = new RequestCycle[Math.max(1, held / size)];
    EndpointsUpdated endpointList =
        new EndpointsUpdated(
            EndpointListForm.CACHED_SNAPSHOT,
            new EndpointListModel(BACKENDS, 7070, plan.seed()).entries());
    for (int i = 0; i < copies.length; i++) {
      GatewayPolicy policy = new GatewayPolicy(ScaleSettings.of(2_000, i), plan.seed());
      policy.start(0);
      policy.on(1, endpointList);
      copies[i] = new RequestCycle(policy, 1_000, size);
      RequestCycle cycle = copies[i];
      IntStream.range(0, BACKENDS).forEach(n -> cycle.serve(-1 - n, 1));
    }
    long before = Stopwatch.liveHeap();
    for (RequestCycle cycle : copies) {
      IntStream.range(0, size).forEach(customer -> cycle.serve(customer, 1));
    }
    double heap = (Stopwatch.liveHeap() - before) / (double) copies.length;
    RequestCycle cycle = copies[0];
    report.add(Measurement.of(subject, size, "heap_bytes_each", heap / size));
    report.add(Measurement.of(subject, size, "heap_mb", heap / 1048576.0));
    report.add(Measurement.of(subject, size, "request_us", requests(cycle, size, plan)));
  }

  /** Requests of customers drawn evenly, so that the accounts are read from all over the memory. */
  private static double[] requests(RequestCycle cycle, int size, Plan plan) {
    SplittableRandom random = new SplittableRandom(plan.seed());
    int batch = plan.quick() ? MAX_BATCH / 10 : MAX_BATCH;
    double[] times =
        Stopwatch.repeat(
            BATCHES,
            plan.secondsEach(),
            () -> {
              for (int i = 0; i < batch; i++) {
                cycle.serve(random.nextInt(size), 1);
              }
            });
    if (cycle.refused() > cycle.served() / 10) {
      throw new IllegalStateException(cycle.refused() + " refused, " + cycle.served() + " served");
    }
    for (int i = 0; i < times.length; i++) {
      times[i] *= 1000.0 / batch;
    }
    return times;
  }
}
