package quotagateway.scale;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.IntPredicate;
import quotagateway.endpoint.Endpoint;

/** Simulated gateways with their load and models of their peers, in one process on virtual time. */
final class SimulatedFleet {

  /**
   * In the range of real clocks, so that window numbers in counter names have realistic lengths.
   */
  private static final double START_MS = 1.8e12;

  /**
   * Customer numbers range up to 2^33; starting at 2^32 gives most counter names the maximum
   * length.
   */
  private static final long FIRST_CUSTOMER = 1L << 32;

  /**
   * Standard deviation of the logarithm of a customer's demand: some customers send ten times as
   * many requests as the median.
   */
  private static final double DEMAND_SPREAD = 1;

  private static final double SERVICE_MS = 30;

  /** A customer is light if its mean demand is below this share of its quota. */
  private static final double LIGHT_DEMAND_SHARE = 0.5;

  /** Time from the start of draining to the end of a backend. */
  private static final double DRAIN_MS = 5_000;

  private final FleetOptions options;
  private final VirtualTime time = new VirtualTime(START_MS);
  private final SplittableRandom random;
  private final List<SimulatedGateway> gateways = new ArrayList<>();
  private final Map<Long, PlacedBackend> backends = new HashMap<>();
  private final EndpointListModel endpointList;
  private final DiscoveryModel discovery;
  private final CounterShards shards;
  private final QuotaLedger ledger;
  private final QuotaLedger arrivalLedger;
  private final double[] cumulativeDemand;
  private final BackendModel unreachable;
  private FleetStatistics figures = new FleetStatistics();
  private FleetStatistics affectedFigures = new FleetStatistics();
  private IntPredicate affected = customer -> false;
  private Reachability network = (from, to) -> true;
  private int nextRequest;

  /** Decides whether one region can reach another. */
  interface Reachability {
    boolean reaches(int from, int to);
  }

  private record PlacedBackend(BackendModel model, int zone) {}

  SimulatedFleet(FleetOptions options) {
    this.options = options;
    random = new SplittableRandom(options.seed());
    endpointList = new EndpointListModel(options.backends(), 7070, options.seed());
    discovery = new DiscoveryModel(this, endpointList, random.split());
    shards =
        new CounterShards(
            options.shards(), time, options.shardCallMs(), ScaleSettings.COUNTER_TIMEOUT_MS);
    ledger =
        new QuotaLedger(
            options.customers(),
            ScaleSettings.PLAN.unitsPerSecond(),
            ScaleSettings.PLAN.burstUnits(),
            START_MS);
    arrivalLedger =
        new QuotaLedger(
            options.customers(),
            ScaleSettings.PLAN.unitsPerSecond(),
            ScaleSettings.PLAN.burstUnits(),
            START_MS);
    cumulativeDemand = drawDemands();
    unreachable = newBackend(0);
    unreachable.fail(BackendModel.Health.UNRESPONSIVE, 0);
    endpointList
        .backends()
        .forEach(c -> backends.put(c.id(), new PlacedBackend(newBackend(0), c.zone())));
    List<Endpoint> endpoints = endpointList.entries();
    for (int i = 0; i < options.gateways(); i++) {
      SimulatedGateway gateway = new SimulatedGateway(this, i, random.nextLong());
      gateways.add(gateway);
      gateway.start(endpoints);
    }
    scheduleNext();
  }

  /** Returns the cumulative demands of the customers, from which arrivals draw a customer. */
  private double[] drawDemands() {
    double[] sums = new double[options.customers()];
    double sum = 0;
    for (int i = 0; i < sums.length; i++) {
      sum += Math.exp(DEMAND_SPREAD * random.nextGaussian());
      sums[i] = sum;
    }
    return sums;
  }

  private void scheduleNext() {
    double delayMs = -Math.log(1 - random.nextDouble()) * 1000 / options.requestsPerSecond();
    time.scheduleAfter(
        delayMs,
        () -> {
          receiveRequest();
          scheduleNext();
        });
  }

  private void receiveRequest() {
    double position = random.nextDouble() * cumulativeDemand[cumulativeDemand.length - 1];
    int index = Arrays.binarySearch(cumulativeDemand, position);
    int customer = index < 0 ? -index - 1 : index;
    double units = 1 + random.nextInt((int) ScaleSettings.MAX_UNITS);
    FleetStatistics figuresOfCustomer = figures(customer);
    figuresOfCustomer.received++;
    figuresOfCustomer.lightReceived += isLight(customer) ? 1 : 0;
    figuresOfCustomer.grantable += arrivalLedger.take(customer, units, now()) ? 1 : 0;
    SimulatedGateway gateway = gatewayOf(customer, random.nextInt(options.spread()));
    if (gateway.up()) {
      gateway.receive("r" + nextRequest++, customer, units);
    } else {
      figuresOfCustomer.failed++;
    }
  }

  /** Returns whether the mean demand of a customer is well below its quota. */
  boolean isLight(int customer) {
    double share =
        cumulativeDemand[customer] - (customer == 0 ? 0 : cumulativeDemand[customer - 1]);
    double perSecond =
        share / cumulativeDemand[cumulativeDemand.length - 1] * options.requestsPerSecond();
    double meanUnits = (1 + ScaleSettings.MAX_UNITS) / 2;
    return perSecond * meanUnits < LIGHT_DEMAND_SHARE * ScaleSettings.PLAN.unitsPerSecond();
  }

  /** Returns the n-th gateway that serves a customer. */
  private SimulatedGateway gatewayOf(int customer, int n) {
    return gateways.get((firstGateway(customer, gateways.size()) + n) % gateways.size());
  }

  private BackendModel newBackend(double startedMs) {
    return new BackendModel(SERVICE_MS, startedMs, random.split());
  }

  /** Returns the number that identifies a customer in requests. */
  static long customerNumber(int customer) {
    return FIRST_CUSTOMER + customer;
  }

  /** Returns the customer to whom a counter name belongs. */
  static int customerOf(String counterName) {
    return (int)
        (Long.parseLong(counterName.substring(0, counterName.indexOf(':')), 36) - FIRST_CUSTOMER);
  }

  /**
   * Advances the virtual time and returns statistics of the span, for the affected customers and
   * for all others.
   */
  Span run(double ms) {
    figures = new FleetStatistics();
    affectedFigures = new FleetStatistics();
    time.runUntil(now() + ms);
    return new Span(figures, affectedFigures, ms / 1000);
  }

  /** Statistics of a span of virtual time. */
  record Span(FleetStatistics others, FleetStatistics affected, double seconds) {}

  /** Sets the affected customers, whose statistics are kept separately. */
  void setAffected(IntPredicate customers) {
    affected = customers;
  }

  /** Sets which regions can reach each other. */
  void setNetwork(Reachability reachability) {
    network = reachability;
  }

  /** Returns the region of a gateway; each region has a contiguous block of gateways. */
  static int regionOf(int gateway, int gateways, int regions) {
    return gateway * regions / gateways;
  }

  private int gatewayRegion(int gateway) {
    return regionOf(gateway, options.gateways(), options.regions());
  }

  /** Returns the first gateway of a customer, whose region is the customer's home region. */
  static int firstGateway(int customer, int gateways) {
    return (int) Math.floorMod((customer * 0x9E3779B97F4A7C15L) >>> 7, (long) gateways);
  }

  /** Returns the shard of a customer's counts, which is in the customer's home region. */
  int shardNumber(int customer) {
    int regions = options.regions();
    int home = gatewayRegion(firstGateway(customer, options.gateways()));
    int shardsPerRegion = shards.size() / regions;
    return home * shardsPerRegion + CounterShards.indexFor(customer, shardsPerRegion);
  }

  CounterShard shard(String counterName) {
    return shards.get(shardNumber(customerOf(counterName)));
  }

  boolean reachesShard(SimulatedGateway gateway, String counterName) {
    int home = gatewayRegion(firstGateway(customerOf(counterName), options.gateways()));
    return network.reaches(gatewayRegion(gateway.number()), home);
  }

  /** Returns the backend as a gateway sees it: unresponsive if its region is unreachable. */
  BackendModel backend(long id, int gateway) {
    PlacedBackend placed = backends.get(id);
    int region = placed.zone % options.regions();
    return network.reaches(gatewayRegion(gateway), region) ? placed.model : unreachable;
  }

  /** Replaces a random backend as a deployment does; discovery publishes the changes. */
  void replaceRandomBackend() {
    List<EndpointListModel.Change> changes = endpointList.replaceRandomBackend((long) now());
    EndpointListModel.Backend old = changes.get(0).backend();
    EndpointListModel.Backend replacement = changes.get(2).backend();
    backends.put(replacement.id(), new PlacedBackend(newBackend(now()), replacement.zone()));
    time.scheduleAfter(DRAIN_MS, () -> failBackends(List.of(old), BackendModel.Health.CRASHED));
    discovery.announce(changes);
  }

  /** Restarts a gateway, which keeps no state and starts with the current endpoint list. */
  void restartGateway(int number) {
    gateways.get(number).kill();
    gateways.set(number, new SimulatedGateway(this, number, random.nextLong()));
    gateways.get(number).start(endpointList.entries());
  }

  /** Makes backends fail, or recover if the health is UP. */
  void failBackends(List<EndpointListModel.Backend> targets, BackendModel.Health health) {
    for (EndpointListModel.Backend target : targets) {
      if (health == BackendModel.Health.UP) {
        backends.get(target.id()).model.recover();
      } else {
        backends.get(target.id()).model.fail(health, now());
      }
    }
  }

  FleetOptions options() {
    return options;
  }

  VirtualTime time() {
    return time;
  }

  double now() {
    return time.now();
  }

  List<SimulatedGateway> gateways() {
    return gateways;
  }

  EndpointListModel endpointList() {
    return endpointList;
  }

  DiscoveryModel discovery() {
    return discovery;
  }

  CounterShards shards() {
    return shards;
  }

  QuotaLedger ledger() {
    return ledger;
  }

  FleetStatistics figures(int customer) {
    return affected.test(customer) ? affectedFigures : figures;
  }
}
