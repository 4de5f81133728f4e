package quotagateway.scale;

/**
 * Gateways at the same total load: what each role carries, and whether the decisions get worse.
 * Customers come through a set of the gateways, or through all of them.
 */
final class FleetSizeSweep implements Sweep {

  private static final double REQUESTS_PER_SECOND = 3_000;
  private static final double QUICK_REQUESTS_PER_SECOND = 300;
  private static final double SETTLING_MS = 15_000;
  private static final double MEASURED_MS = 20_000;
  private static final double REPLACEMENT_MS = 1_150;
  private final boolean throughAll;

  /** Through all gateways, or through a set of three. */
  FleetSizeSweep(boolean throughAll) {
    this.throughAll = throughAll;
  }

  @Override
  public String name() {
    return throughAll ? "gateways-all" : "gateways-set";
  }

  @Override
  public void run(Plan plan, Report report) {
    report.budget("gateway_counter_bytes_per_s", 19_000);
    report.budget("added_ms_p99", 2.5);
    double load = plan.quick() ? QUICK_REQUESTS_PER_SECOND : REQUESTS_PER_SECOND;
    for (int gateways : plan.sizes(new int[] {5, 10}, new int[] {10, 30, 100, 300, 1_000, 2_000})) {
      int spread = throughAll ? gateways : 3;
      FleetReport figures = new FleetReport(plan.subject(this, "gateways"), report);
      double cpu = Stopwatch.cpuMs();
      HollowFleet fleet = new HollowFleet(FleetOptions.of(gateways, spread, load, plan.seed()));
      replaceNow(fleet);
      fleet.run(plan.quick() ? SETTLING_MS / 3 : SETTLING_MS);
      HollowFleet.Span span = fleet.run(plan.quick() ? MEASURED_MS / 4 : MEASURED_MS);
      figures.decisions(gateways, "", span.others());
      figures.roles(gateways, span, gateways);
      figures.one(gateways, "harness_cpu_s", (Stopwatch.cpuMs() - cpu) / 1000);
    }
    report.print(name());
  }

  /** Replacements at the target's mean rate of 75,000 a day. */
  private static void replaceNow(HollowFleet fleet) {
    fleet
        .time()
        .after(
            REPLACEMENT_MS,
            () -> {
              fleet.replaceOne();
              replaceNow(fleet);
            });
  }
}
