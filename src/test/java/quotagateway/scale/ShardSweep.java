package quotagateway.scale;

/**
 * Measures the load of each counter shard, and the quota decisions for customers whose shard is
 * silent, down or restarted.
 */
final class ShardSweep implements Sweep {

  private static final int GATEWAYS = 60;
  private static final int SPREAD = 4;
  private static final double REQUESTS_PER_SECOND = 3_000;
  private static final double QUICK_REQUESTS_PER_SECOND = 300;

  /** Load on the counter in shards: one shard is far too slow, and three are sufficient. */
  private static final double SHARD_LOAD = 2;

  private static final double SETTLING_MS = 15_000;
  private static final double PHASE_MS = 20_000;

  @Override
  public String name() {
    return "shards";
  }

  @Override
  public void run(Plan plan, Report report) {
    for (int shards : plan.sizes(new int[] {1, 4}, new int[] {1, 2, 4, 8, 16, 33})) {
      double load = plan.quick() ? QUICK_REQUESTS_PER_SECOND : REQUESTS_PER_SECOND;
      double timeScale = plan.quick() ? 0.25 : 1;
      FleetReport figures = new FleetReport(plan.subject(this, "counter shards"), report);
      FleetOptions options =
          FleetOptions.of(plan.quick() ? 8 : GATEWAYS, SPREAD, load, plan.seed())
              .withShards(shards, 1000 * SHARD_LOAD / load);
      SimulatedFleet fleet = new SimulatedFleet(options);
      int failedShard = 0;
      fleet.setAffected(customer -> fleet.shardNumber(customer) == failedShard);
      fleet.run(SETTLING_MS * timeScale);
      measureAllUp(figures, shards, fleet, PHASE_MS * timeScale);
      fleet.shards().get(failedShard).fail(CounterShard.Health.SILENT);
      addPhase(figures, shards, "silent_", fleet.run(PHASE_MS * timeScale));
      fleet.shards().get(failedShard).fail(CounterShard.Health.DOWN);
      addPhase(figures, shards, "down_", fleet.run(PHASE_MS * timeScale));
      fleet.shards().get(failedShard).restart(false);
      addPhase(figures, shards, "back_empty_", fleet.run(PHASE_MS * timeScale));
      fleet.shards().get(failedShard).fail(CounterShard.Health.DOWN);
      fleet.run(PHASE_MS * timeScale / 4);
      fleet.shards().get(failedShard).restart(true);
      addPhase(figures, shards, "back_kept_", fleet.run(PHASE_MS * timeScale));
    }
    report.print(name());
  }

  private static void measureAllUp(
      FleetReport figures, int shards, SimulatedFleet fleet, double ms) {
    long calls = fleet.shards().calls();
    long bytes = fleet.shards().bytes();
    SimulatedFleet.Span span = fleet.run(ms);
    figures.add(
        shards, "shard_calls_per_s", (fleet.shards().calls() - calls) / span.seconds() / shards);
    figures.add(
        shards, "shard_bytes_per_s", (fleet.shards().bytes() - bytes) / span.seconds() / shards);
    figures.add(shards, "busiest_of_mean", fleet.shards().imbalance());
    figures.add(shards, "names_held", fleet.shards().get(0).names());
    figures.add(shards, "added_ms_p99", span.others().addedMs(99));
    addPhase(figures, shards, "", span);
  }

  private static void addPhase(
      FleetReport figures, int shards, String prefix, SimulatedFleet.Span span) {
    figures.decisions(shards, prefix + "its_", span.affected());
    if (span.others().received > 0) {
      figures.decisions(shards, prefix + "others_", span.others());
    }
  }
}
