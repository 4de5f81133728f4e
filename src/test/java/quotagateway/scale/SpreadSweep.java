package quotagateway.scale;

/**
 * Measures a fleet by the number of gateways over which each customer's requests are spread, with
 * the same gateways and load.
 */
final class SpreadSweep implements Sweep {

  private static final int GATEWAYS = 200;
  private static final double REQUESTS_PER_SECOND = 3_000;
  private static final double SETTLING_MS = 15_000;
  private static final double MEASURED_MS = 20_000;

  @Override
  public String name() {
    return "spread";
  }

  @Override
  public void run(Plan plan, Report report) {
    for (int spread : plan.sizes(new int[] {1, 4}, new int[] {1, 2, 3, 4, 8, 16, 32, 64, 200})) {
      FleetReport figures = new FleetReport(plan.subject(this, "entry points"), report);
      FleetOptions options =
          plan.quick()
              ? FleetOptions.of(10, spread, 300, plan.seed())
              : FleetOptions.of(GATEWAYS, spread, REQUESTS_PER_SECOND, plan.seed());
      SimulatedFleet fleet = new SimulatedFleet(options);
      fleet.run(plan.quick() ? SETTLING_MS / 3 : SETTLING_MS);
      SimulatedFleet.Span span = fleet.run(plan.quick() ? MEASURED_MS / 4 : MEASURED_MS);
      figures.decisions(spread, "", span.others());
      figures.roles(spread, span, options.gateways());
    }
    report.print(name());
  }
}
