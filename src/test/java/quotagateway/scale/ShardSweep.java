package quotagateway.scale;

/**
 * Shards of the counter: what each carries, and what customers get of whom the shard is silent or
 * lost.
 */
final class ShardSweep implements Sweep {

  private static final int GATEWAYS = 60;
  private static final int SPREAD = 4;
  private static final double REQUESTS_PER_SECOND = 3_000;
  private static final double QUICK_REQUESTS_PER_SECOND = 300;

  /** So that one shard alone is far too slow for the load, and three are enough. */
  private static final double CALL_SHARE = 2;

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
      double part = plan.quick() ? 0.25 : 1;
      FleetReport figures = new FleetReport(plan.subject(this, "counter shards"), report);
      FleetOptions options =
          FleetOptions.of(plan.quick() ? 8 : GATEWAYS, SPREAD, load, plan.seed())
              .withShards(shards, 1000 * CALL_SHARE / load);
      HollowFleet fleet = new HollowFleet(options);
      int dead = 0;
      fleet.watch(customer -> fleet.shardNumber(customer) == dead);
      fleet.run(SETTLING_MS * part);
      whole(figures, shards, fleet, PHASE_MS * part);
      fleet.shards().get(dead).fail(CounterShard.Health.SILENT);
      phase(figures, shards, "silent_", fleet.run(PHASE_MS * part));
      fleet.shards().get(dead).fail(CounterShard.Health.DOWN);
      phase(figures, shards, "down_", fleet.run(PHASE_MS * part));
      fleet.shards().get(dead).restart(false);
      phase(figures, shards, "back_empty_", fleet.run(PHASE_MS * part));
      fleet.shards().get(dead).fail(CounterShard.Health.DOWN);
      fleet.run(PHASE_MS * part / 4);
      fleet.shards().get(dead).restart(true);
      phase(figures, shards, "back_kept_", fleet.run(PHASE_MS * part));
    }
    report.print(name());
  }

  private static void whole(FleetReport figures, int shards, HollowFleet fleet, double ms) {
    long calls = fleet.shards().calls();
    long bytes = fleet.shards().bytes();
    HollowFleet.Span span = fleet.run(ms);
    figures.one(
        shards, "shard_calls_per_s", (fleet.shards().calls() - calls) / span.seconds() / shards);
    figures.one(
        shards, "shard_bytes_per_s", (fleet.shards().bytes() - bytes) / span.seconds() / shards);
    figures.one(shards, "busiest_of_mean", fleet.shards().imbalance());
    figures.one(shards, "names_held", fleet.shards().get(0).names());
    figures.one(shards, "added_ms_p99", span.others().addedMs(99));
    phase(figures, shards, "", span);
  }

  private static void phase(FleetReport figures, int shards, String name, HollowFleet.Span span) {
    figures.decisions(shards, name + "its_", span.affected());
    if (span.others().asked > 0) {
      figures.decisions(shards, name + "others_", span.others());
    }
  }
}
