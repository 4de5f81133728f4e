package quotagateway.scale;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.IntPredicate;
import java.util.function.Predicate;
import quotagateway.endpoint.EndpointState;

/**
 * Measures a fleet in nine regions before and during an incident, and in the minute after its end.
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

  /** Time until discovery notices and publishes that backends are unresponsive. */
  private static final double DETECTION_MS = 10_000;

  private static final double GATEWAY_RESTART_MS = 2_000;
  private static final double CUT_MS = 60_000;
  private static final double DISCOVERY_SILENT_MS = 600_000;

  /**
   * Interval between replacements of backends, which continue during an incident. The rate per
   * backend is ten times that of the target.
   */
  private static final double REPLACEMENT_INTERVAL_MS = 110_000;

  /**
   * One kind of incident.
   *
   * @param name prefix of the metric names
   * @param begin starts the incident
   * @param lastsMs time until the incident is ended, or 0
   * @param end ends the incident
   * @param affected customers whose statistics are reported separately
   */
  private record Incident(
      String name,
      Consumer<SimulatedFleet> begin,
      double lastsMs,
      Consumer<SimulatedFleet> end,
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
      measure(
          incident,
          gateways,
          plan,
          new FleetReport(plan.subject(this, "seconds since its end"), report));
    }
    report.print(name());
  }

  private static List<Incident> incidents(int gateways) {
    Consumer<SimulatedFleet> nothing = fleet -> {};
    IntPredicate noCustomers = customer -> false;
    return List.of(
        new Incident(
            "rack",
            fleet -> loseBackends(fleet, backend -> backend.number() % 33 == 0),
            0,
            nothing,
            noCustomers),
        new Incident(
            "zone",
            fleet -> loseBackends(fleet, backend -> backend.zone() == 1),
            0,
            nothing,
            noCustomers),
        new Incident(
            "region_cut",
            fleet -> fleet.setNetwork(IncidentSweep::connectedDuringCut),
            CUT_MS,
            fleet -> fleet.setNetwork((from, to) -> true),
            customer -> spansRegionZero(customer, gateways)),
        new Incident(
            "shard_dies",
            fleet -> fleet.shards().get(0).fail(CounterShard.Health.SILENT),
            0,
            nothing,
            noCustomers),
        new Incident(
            "gateways_restart",
            IncidentSweep::restartRegion,
            GATEWAY_RESTART_MS,
            nothing,
            noCustomers),
        new Incident(
            "discovery_returns",
            fleet -> fleet.discovery().setHealth(DiscoveryModel.Health.SILENT),
            DISCOVERY_SILENT_MS,
            fleet -> fleet.discovery().setHealth(DiscoveryModel.Health.UP),
            noCustomers));
  }

  private void measure(Incident incident, int gateways, Plan plan, FleetReport figures) {
    double timeScale = plan.quick() ? 0.1 : 1;
    double load = plan.quick() ? QUICK_REQUESTS_PER_SECOND : REQUESTS_PER_SECOND;
    SimulatedFleet fleet =
        new SimulatedFleet(
            FleetOptions.of(gateways, SPREAD, load, plan.seed())
                .withShards(SHARDS, SHARD_CALL_MS)
                .withRegions(REGIONS));
    fleet.setAffected(
        incident.name.equals("shard_dies")
            ? customer -> fleet.shardNumber(customer) == 0
            : incident.affected);
    scheduleReplacement(fleet);
    fleet.run(SETTLING_MS * timeScale);
    addMetrics(figures, incident, -1, fleet.run(SLICE_MS * timeScale), gateways);
    incident.begin.accept(fleet);
    if (incident.lastsMs > 0) {
      addMetrics(figures, incident, 0, fleet.run(incident.lastsMs * timeScale), gateways);
    }
    incident.end.accept(fleet);
    for (int slice = 1; slice <= SLICES_AFTER; slice++) {
      double seconds = slice * SLICE_MS * timeScale / 1000;
      addMetrics(figures, incident, seconds, fleet.run(SLICE_MS * timeScale), gateways);
    }
  }

  private static void addMetrics(
      FleetReport figures, Incident incident, double at, SimulatedFleet.Span span, int gateways) {
    String prefix = incident.name + "_";
    figures.decisions(at, prefix, span.others());
    if (span.affected().received > 0) {
      figures.decisions(at, prefix + "its_", span.affected());
    }
    FleetStatistics statistics = span.others();
    figures.add(at, prefix + "calls_per_s", statistics.counterCalls / span.seconds());
    figures.add(
        at,
        prefix + "list_bytes_per_s_gateway",
        statistics.endpointListBytes / span.seconds() / gateways);
    figures.add(
        at,
        prefix + "attempts_each",
        statistics.attempts / (double) Math.max(1, statistics.received));
    figures.add(at, prefix + "added_ms_p99", statistics.addedMs(99));
  }

  private static void loseBackends(
      SimulatedFleet fleet, Predicate<EndpointListModel.Backend> selection) {
    List<EndpointListModel.Backend> lost =
        fleet.endpointList().backends().stream().filter(selection).toList();
    fleet.failBackends(lost, BackendModel.Health.UNRESPONSIVE);
    List<EndpointListModel.Change> changes =
        lost.stream()
            .map(backend -> new EndpointListModel.Change(backend, EndpointState.REMOVED))
            .toList();
    fleet.time().scheduleAfter(DETECTION_MS, () -> fleet.discovery().announce(changes));
  }

  /** Returns whether two regions can reach each other while region 0 is cut off. */
  private static boolean connectedDuringCut(int from, int to) {
    return from == to || (from != 0 && to != 0);
  }

  /** Returns whether a customer's gateways are both in region 0 and in a neighboring region. */
  private static boolean spansRegionZero(int customer, int gateways) {
    int first = SimulatedFleet.firstGateway(customer, gateways);
    int from = SimulatedFleet.regionOf(first, gateways, REGIONS);
    int to = SimulatedFleet.regionOf((first + SPREAD - 1) % gateways, gateways, REGIONS);
    return from != to && (from == 0 || to == 0);
  }

  private static void restartRegion(SimulatedFleet fleet) {
    int gateways = fleet.gateways().size();
    for (int i = 0; i < gateways; i++) {
      if (SimulatedFleet.regionOf(i, gateways, REGIONS) == 0) {
        int number = i;
        fleet.gateways().get(number).kill();
        fleet.time().scheduleAfter(GATEWAY_RESTART_MS, () -> fleet.restartGateway(number));
      }
    }
  }

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
