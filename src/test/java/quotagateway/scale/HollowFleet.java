package quotagateway.scale;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.IntPredicate;
import quotagateway.endpoint.Endpoint;

/** Hollow gateways with their load and all that they speak to, in one process on virtual time. */
final class HollowFleet {

  /** In the range of real clocks, as names of counts hold the number of a window. */
  private static final double START_MS = 1.8e12;

  /** Customers are numbers up to 2^33, so that most names of counts are as long as the longest. */
  private static final long FIRST_CUSTOMER = 1L << 32;

  /**
   * Spread of the customers' demands, as the deviation of its logarithm: some ask ten times the
   * median.
   */
  private static final double DEMAND_SPREAD = 1;

  private static final double SERVICE_MS = 30;

  /** A customer that asks for less than this share of its quota is a light one. */
  private static final double LIGHT_USE = 0.5;

  /** A backend that drains ends after that. */
  private static final double DRAIN_MS = 5_000;

  private final FleetOptions options;
  private final VirtualTime time = new VirtualTime(START_MS);
  private final SplittableRandom random;
  private final List<HollowGateway> gateways = new ArrayList<>();
  private final Map<Long, Placed> backends = new HashMap<>();
  private final EndpointListModel endpointList;
  private final DiscoveryModel discovery;
  private final CounterShards shards;
  private final QuotaLedger ledger;
  private final QuotaLedger granting;
  private final double[] demand;
  private final BackendModel unreachable;
  private FleetFigures figures = new FleetFigures();
  private FleetFigures affectedFigures = new FleetFigures();
  private IntPredicate affected = customer -> false;
  private Reachability network = (from, to) -> true;
  private int requests;

  /** Whether one region reaches another. */
  interface Reachability {
    boolean reaches(int from, int to);
  }

  private record Placed(BackendModel model, int zone) {}

  HollowFleet(FleetOptions options) {
    this.options = options;
    random = new SplittableRandom(options.seed());
    endpointList = new EndpointListModel(options.backends(), 7070, options.seed());
    discovery = new DiscoveryModel(this, endpointList, random.split());
    shards =
        new CounterShards(
            options.shards(), time, options.shardCallMs(), ScaleSettings.COUNT_LIMIT_MS);
    ledger =
        new QuotaLedger(
            options.customers(),
            ScaleSettings.PLAN.unitsPerSecond(),
            ScaleSettings.PLAN.burstUnits(),
            START_MS);
    granting =
        new QuotaLedger(
            options.customers(),
            ScaleSettings.PLAN.unitsPerSecond(),
            ScaleSettings.PLAN.burstUnits(),
            START_MS);
    demand = demand();
    unreachable = newBackend(0);
    unreachable.fail(BackendModel.Health.VANISHED, 0);
    endpointList.backends().forEach(c -> backends.put(c.id(), new Placed(newBackend(0), c.zone())));
    List<Endpoint> known = endpointList.entries();
    for (int i = 0; i < options.gateways(); i++) {
      HollowGateway gateway = new HollowGateway(this, i, random.nextLong());
      gateways.add(gateway);
      gateway.start(known);
    }
    scheduleNext();
  }

  /** Sums of the customers' shares of all requests, for drawing one of them. */
  private double[] demand() {
    double[] sums = new double[options.customers()];
    double sum = 0;
    for (int i = 0; i < sums.length; i++) {
      sum += Math.exp(DEMAND_SPREAD * random.nextGaussian());
      sums[i] = sum;
    }
    return sums;
  }

  private void scheduleNext() {
    double gap = -Math.log(1 - random.nextDouble()) * 1000 / options.requestsPerSecond();
    time.after(
        gap,
        () -> {
          arrive();
          scheduleNext();
        });
  }

  private void arrive() {
    double drawn = random.nextDouble() * demand[demand.length - 1];
    int place = Arrays.binarySearch(demand, drawn);
    int customer = place < 0 ? -place - 1 : place;
    double units = 1 + random.nextInt((int) ScaleSettings.MAX_UNITS);
    FleetFigures seen = figures(customer);
    seen.asked++;
    seen.lightAsked += light(customer) ? 1 : 0;
    seen.grantable += granting.take(customer, units, now()) ? 1 : 0;
    HollowGateway gateway = gateway(customer, random.nextInt(options.spread()));
    if (gateway.up()) {
      gateway.request("r" + requests++, customer, units);
    } else {
      seen.failed++;
    }
  }

  /** Whether a customer asks for well under its quota on the mean. */
  boolean light(int customer) {
    double share = demand[customer] - (customer == 0 ? 0 : demand[customer - 1]);
    double perSecond = share / demand[demand.length - 1] * options.requestsPerSecond();
    double meanUnits = (1 + ScaleSettings.MAX_UNITS) / 2;
    return perSecond * meanUnits < LIGHT_USE * ScaleSettings.PLAN.unitsPerSecond();
  }

  /** The n-th gateway of a customer's set. */
  private HollowGateway gateway(int customer, int n) {
    return gateways.get((firstGateway(customer, gateways.size()) + n) % gateways.size());
  }

  private BackendModel newBackend(double startedMs) {
    return new BackendModel(SERVICE_MS, startedMs, random.split());
  }

  /** The number by which requests name a customer. */
  static long customerNumber(int customer) {
    return FIRST_CUSTOMER + customer;
  }

  /** The customer whose count has that name. */
  static int customer(String countName) {
    return (int)
        (Long.parseLong(countName.substring(0, countName.indexOf(':')), 36) - FIRST_CUSTOMER);
  }

  /**
   * Lets that much virtual time pass, and gives what was seen of it: of the affected, and of all
   * others.
   */
  Span run(double ms) {
    figures = new FleetFigures();
    affectedFigures = new FleetFigures();
    time.runUntil(now() + ms);
    return new Span(figures, affectedFigures, ms / 1000);
  }

  /** Figures of a span of virtual time. */
  record Span(FleetFigures others, FleetFigures affected, double seconds) {}

  /** From now on the figures of these customers are kept apart. */
  void watch(IntPredicate customers) {
    affected = customers;
  }

  /** From now on regions hear each other only where the reachability says so. */
  void cut(Reachability reachability) {
    network = reachability;
  }

  /** The region of a gateway; each region has a block of them. */
  static int gatewayRegion(int gateway, int gateways, int regions) {
    return gateway * regions / gateways;
  }

  private int gatewayRegion(int gateway) {
    return gatewayRegion(gateway, options.gateways(), options.regions());
  }

  /** The first gateway of a customer's set, whose region is the customer's home. */
  static int firstGateway(int customer, int gateways) {
    return (int) Math.floorMod((customer * 0x9E3779B97F4A7C15L) >>> 7, (long) gateways);
  }

  /** The shard of a customer's counts: one of its home's, of which each region has as many. */
  int shardNumber(int customer) {
    int regions = options.regions();
    int home = gatewayRegion(firstGateway(customer, options.gateways()));
    int each = shards.size() / regions;
    return home * each + CounterShards.spread(customer, each);
  }

  CounterShard shard(String countName) {
    return shards.get(shardNumber(customer(countName)));
  }

  boolean reachesShard(HollowGateway gateway, String countName) {
    int home = gatewayRegion(firstGateway(customer(countName), options.gateways()));
    return network.reaches(gatewayRegion(gateway.number()), home);
  }

  /** A backend as that gateway finds it; one in a region that it cannot reach is silent. */
  BackendModel backend(long id, int gateway) {
    Placed found = backends.get(id);
    int region = found.zone % options.regions();
    return network.reaches(gatewayRegion(gateway), region) ? found.model : unreachable;
  }

  /** One backend is replaced by another, as deployments do; discovery tells of it. */
  void replaceOne() {
    List<EndpointListModel.Change> changes = endpointList.replaceOne((long) now());
    EndpointListModel.Backend old = changes.get(0).backend();
    EndpointListModel.Backend replacement = changes.get(2).backend();
    backends.put(replacement.id(), new Placed(newBackend(now()), replacement.zone()));
    time.after(DRAIN_MS, () -> failBackends(List.of(old), BackendModel.Health.DIED));
    discovery.tell(changes);
  }

  /** Gateways that restart come back with the list as it was told last, and nothing else. */
  void restartGateway(int number) {
    gateways.get(number).kill();
    gateways.set(number, new HollowGateway(this, number, random.nextLong()));
    gateways.get(number).start(endpointList.entries());
  }

  /** Some backends fail, or heal where the health is UP. */
  void failBackends(List<EndpointListModel.Backend> which, BackendModel.Health how) {
    for (EndpointListModel.Backend c : which) {
      if (how == BackendModel.Health.UP) {
        backends.get(c.id()).model.heal();
      } else {
        backends.get(c.id()).model.fail(how, now());
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

  List<HollowGateway> gateways() {
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

  FleetFigures figures(int customer) {
    return affected.test(customer) ? affectedFigures : figures;
  }
}
