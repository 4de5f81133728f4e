package quotagateway.scale;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.IntPredicate;
import java.util.function.Predicate;
import quotagateway.endpoint.EndpointState;

/**
 * What a fleet in nine regions does before an incident, while it lasts, and in the minute after it.
 */
final class IncidentSweep implements Sweep {

  private static final int REGIONS = 9;
  private static final int GATEWAYS = 90;
  private static final int SPREAD = 3;
  private static final int SHARDS = 18;
  private static final double SHARD_CALL_MS = 0.1;
  private static final double REQUESTS_PER_SECOND = 2_000;
  private static final double QUICK_REQUESTS_PER_SECOND = 400;
  private static final double SETTLING_MS = 30_000;
  private static final double SLICE_MS = 20_000;
  private static final int SLICES_AFTER = 3;

  /** A machine that vanished is noticed and told so much later. */
  private static final double NOTICE_MS = 10_000;

  private static final double GATEWAY_RESTART_MS = 2_000;
  private static final double CUT_MS = 60_000;
  private static final double DISCOVERY_SILENT_MS = 600_000;

  /**
   * Replacements of backends, while discovery is silent and before: ten times the target's share.
   */
  private static final double REPLACEMENT_MS = 110_000;

  /**
   * One kind of trouble: how it begins, how long it lasts until it is mended, how it ends, whom it
   * meets.
   */
  private record Incident(
      String name,
      Consumer<HollowFleet> begin,
      double lastsMs,
      Consumer<HollowFleet> end,
      IntPredicate affected) {}

  @Override
  public String name() {
    return "incidents";
  }

  @Override
  public void run(Plan plan, Report report) {
    int gateways = plan.quick() ? 2 * REGIONS : GATEWAYS;
    List<Incident> incidents = incidents(gateways);
    for (Incident incident : plan.quick() ? incidents.subList(1, 4) : incidents) {
      play(
          incident,
          gateways,
          plan,
          new FleetReport(plan.subject(this, "seconds since its end"), report));
    }
    report.print(name());
  }

  private static List<Incident> incidents(int gateways) {
    Consumer<HollowFleet> nothing = fleet -> {};
    IntPredicate nobody = customer -> false;
    return List.of(
        new Incident("rack", f -> lose(f, c -> c.number() % 33 == 0), 0, nothing, nobody),
        new Incident("zone", f -> lose(f, c -> c.zone() == 1), 0, nothing, nobody),
        new Incident(
            "region_cut",
            f -> f.cut(IncidentSweep::crosses),
            CUT_MS,
            f -> f.cut((from, to) -> true),
            customer -> inTwoRegions(customer, gateways)),
        new Incident(
            "shard_dies",
            f -> f.shards().get(0).fail(CounterShard.Health.SILENT),
            0,
            nothing,
            nobody),
        new Incident(
            "gateways_restart", IncidentSweep::restartRegion, GATEWAY_RESTART_MS, nothing, nobody),
        new Incident(
            "discovery_returns",
            f -> f.discovery().become(DiscoveryModel.Health.SILENT),
            DISCOVERY_SILENT_MS,
            f -> f.discovery().become(DiscoveryModel.Health.UP),
            nobody));
  }

  private void play(Incident incident, int gateways, Plan plan, FleetReport figures) {
    double part = plan.quick() ? 0.1 : 1;
    double load = plan.quick() ? QUICK_REQUESTS_PER_SECOND : REQUESTS_PER_SECOND;
    HollowFleet fleet =
        new HollowFleet(
            FleetOptions.of(gateways, SPREAD, load, plan.seed())
                .withShards(SHARDS, SHARD_CALL_MS)
                .withRegions(REGIONS));
    fleet.watch(
        incident.name.equals("shard_dies")
            ? customer -> fleet.shardNumber(customer) == 0
            : incident.affected);
    replaceNow(fleet);
    fleet.run(SETTLING_MS * part);
    report(figures, incident, -1, fleet.run(SLICE_MS * part), gateways);
    incident.begin.accept(fleet);
    if (incident.lastsMs > 0) {
      report(figures, incident, 0, fleet.run(incident.lastsMs * part), gateways);
    }
    incident.end.accept(fleet);
    for (int slice = 1; slice <= SLICES_AFTER; slice++) {
      double seconds = slice * SLICE_MS * part / 1000;
      report(figures, incident, seconds, fleet.run(SLICE_MS * part), gateways);
    }
  }

  private static void report(
      FleetReport figures, Incident incident, double at, HollowFleet.Span span, int gateways) {
    String prefix = incident.name + "_";
    figures.decisions(at, prefix, span.others());
    if (span.affected().asked > 0) {
      figures.decisions(at, prefix + "its_", span.affected());
    }
    FleetFigures f = span.others();
    figures.one(at, prefix + "calls_per_s", f.counterCalls / span.seconds());
    figures.one(
        at, prefix + "list_bytes_per_s_gateway", f.endpointListBytes / span.seconds() / gateways);
    figures.one(at, prefix + "attempts_each", f.attempts / (double) Math.max(1, f.asked));
    figures.one(at, prefix + "added_ms_p99", f.addedMs(99));
  }

  private static void lose(HollowFleet fleet, Predicate<EndpointListModel.Backend> which) {
    List<EndpointListModel.Backend> gone =
        fleet.endpointList().backends().stream().filter(which).toList();
    fleet.failBackends(gone, BackendModel.Health.VANISHED);
    List<EndpointListModel.Change> changes =
        gone.stream().map(c -> new EndpointListModel.Change(c, EndpointState.REMOVED)).toList();
    fleet.time().after(NOTICE_MS, () -> fleet.discovery().tell(changes));
  }

  /** Region 0 and the others cannot hear each other. */
  private static boolean crosses(int from, int to) {
    return from == to || (from != 0 && to != 0);
  }

  /**
   * Whether a customer's set of gateways begins in region 0 and ends in the next, or ends in it.
   */
  private static boolean inTwoRegions(int customer, int gateways) {
    int first = HollowFleet.firstGateway(customer, gateways);
    int from = HollowFleet.gatewayRegion(first, gateways, REGIONS);
    int to = HollowFleet.gatewayRegion((first + SPREAD - 1) % gateways, gateways, REGIONS);
    return from != to && (from == 0 || to == 0);
  }

  private static void restartRegion(HollowFleet fleet) {
    int gateways = fleet.gateways().size();
    for (int i = 0; i < gateways; i++) {
      if (HollowFleet.gatewayRegion(i, gateways, REGIONS) == 0) {
        int number = i;
        fleet.gateways().get(number).kill();
        fleet.time().after(GATEWAY_RESTART_MS, () -> fleet.restartGateway(number));
      }
    }
  }

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
