package quotagateway.scale;

/**
 * Measures the traffic of each role and the quality of quota decisions by the number of gateways,
 * at the same total load. The requests of a customer are spread over three gateways or over all.
 */
final class FleetSizeSweep implements Sweep {

  private static final double REQUESTS_PER_SECOND = 3_000;
  private static final double QUICK_REQUESTS_PER_SECOND = 300;
  private static final double SETTLING_MS = 15_000;
  private static final double MEASURED_MS = 20_000;
  private static final double REPLACEMENT_INTERVAL_MS = 1_150;
  private final boolean allGateways;

  /** Creates a sweep that spreads each customer over all gateways, or else over three. */
  FleetSizeSweep(boolean allGateways) {
    this.allGateways = allGateways;
  }

  @Override
  public String name() {
    return allGateways ? "gateways-all" : "gateways-set";
  }

  @Override
  public void run(Plan plan, Report report) {
    report.budget("gateway_counter_bytes_per_s", 19_000);
    report.budget("added_ms_p99", 2.5);
    double load = plan.quick() ? QUICK_REQUESTS_PER_SECOND : REQUESTS_PER_SECOND;
    for (int gateways : plan.sizes(new int[] {5, 10}, new int[] {10, 30, 100, 300, 1_000, 2_000})) {
      int spread = allGateways ? gateways : 3;
      FleetReport figures = new FleetReport(plan.subject(this, "gateways"), report);
      double startCpuMs = Stopwatch.cpuMs();
      SimulatedFleet fleet =
          new SimulatedFleet(FleetOptions.of(gateways, spread, load, plan.seed()));
      scheduleReplacement(fleet);
      fleet.run(plan.quick() ? SETTLING_MS / 3 : SETTLING_MS);
      SimulatedFleet.Span span = fleet.run(plan.quick() ? MEASURED_MS / 4 : MEASURED_MS);
      figures.decisions(gateways, "", span.others());
      figures.roles(gateways, span, gateways);
      figures.add(gateways, "harness_cpu_s", (Stopwatch.cpuMs() - startCpuMs) / 1000);
    }
    report.print(name());
  }

  /** Schedules replacements of backends at the target's mean rate of 75,000 per day. */
  private static void scheduleReplacement(SimulatedFleet fleet) {
    fleet
        .time()
        .scheduleAfter(
            REPLACEMENT_INTERVAL_MS,
            () -> {
              fleet.replaceRandomBackend();
              scheduleReplacement(fleet);
            });
  }
}
