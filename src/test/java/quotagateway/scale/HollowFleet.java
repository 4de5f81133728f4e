package quotagateway.scale;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.IntPredicate;
import quotagateway.endpoint.Endpoint;

/**
 * Hollow front doors with their load and all that they speak to, in one process on virtual time.
 */
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

  /** A converter that drains ends after that. */
  private static final double DRAIN_MS = 5_000;

  private final FleetOptions options;
  private final VirtualTime time = new VirtualTime(START_MS);
  private final SplittableRandom random;
  private final List<HollowDoor> doors = new ArrayList<>();
  private final Map<Long, Placed> converters = new HashMap<>();
  private final RosterModel roster;
  private final DiscoveryModel discovery;
  private final CounterShards shards;
  private final QuotaLedger ledger;
  private final QuotaLedger granting;
  private final double[] demand;
  private final ConverterModel unreachable;
  private FleetFigures figures = new FleetFigures();
  private FleetFigures affectedFigures = new FleetFigures();
  private IntPredicate affected = customer -> false;
  private Reachability network = (from, to) -> true;
  private int requests;

  /** Whether one region reaches another. */
  interface Reachability {
    boolean reaches(int from, int to);
  }

  private record Placed(ConverterModel model, int zone) {}

  HollowFleet(FleetOptions options) {
    this.options = options;
    random = new SplittableRandom(options.seed());
    roster = new RosterModel(options.converters(), 7070, options.seed());
    discovery = new DiscoveryModel(this, roster, random.split());
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
    unreachable = newConverter(0);
    unreachable.fail(ConverterModel.Health.VANISHED, 0);
    roster.converters().forEach(c -> converters.put(c.id(), new Placed(newConverter(0), c.zone())));
    List<Endpoint> known = roster.entries();
    for (int i = 0; i < options.doors(); i++) {
      HollowDoor door = new HollowDoor(this, i, random.nextLong());
      doors.add(door);
      door.start(known);
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
    double units = 1 + random.nextInt((int) ScaleSettings.MOST_UNITS);
    FleetFigures seen = figures(customer);
    seen.asked++;
    seen.lightAsked += light(customer) ? 1 : 0;
    seen.grantable += granting.take(customer, units, now()) ? 1 : 0;
    HollowDoor door = door(customer, random.nextInt(options.spread()));
    if (door.up()) {
      door.request("r" + requests++, customer, units);
    } else {
      seen.failed++;
    }
  }

  /** Whether a customer asks for well under its quota on the mean. */
  boolean light(int customer) {
    double share = demand[customer] - (customer == 0 ? 0 : demand[customer - 1]);
    double perSecond = share / demand[demand.length - 1] * options.requestsPerSecond();
    double meanUnits = (1 + ScaleSettings.MOST_UNITS) / 2;
    return perSecond * meanUnits < LIGHT_USE * ScaleSettings.PLAN.unitsPerSecond();
  }

  /** The n-th front door of a customer's set. */
  private HollowDoor door(int customer, int n) {
    return doors.get((firstDoor(customer, doors.size()) + n) % doors.size());
  }

  private ConverterModel newConverter(double startedMs) {
    return new ConverterModel(SERVICE_MS, startedMs, random.split());
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

  /** The region of a front door; each region has a block of them. */
  static int doorRegion(int door, int doors, int regions) {
    return door * regions / doors;
  }

  private int doorRegion(int door) {
    return doorRegion(door, options.doors(), options.regions());
  }

  /** The first front door of a customer's set, whose region is the customer's home. */
  static int firstDoor(int customer, int doors) {
    return (int) Math.floorMod(customer * 0x9E3779B97F4A7C15L >>> 7, (long) doors);
  }

  /** The shard of a customer's counts: one of its home's, of which each region has as many. */
  int shardNumber(int customer) {
    int regions = options.regions();
    int home = doorRegion(firstDoor(customer, options.doors()));
    int each = shards.size() / regions;
    return home * each + CounterShards.spread(customer, each);
  }

  CounterShard shard(String countName) {
    return shards.get(shardNumber(customer(countName)));
  }

  boolean reachesShard(HollowDoor door, String countName) {
    int home = doorRegion(firstDoor(customer(countName), options.doors()));
    return network.reaches(doorRegion(door.number()), home);
  }

  /** A converter as that front door finds it; one in a region that it cannot reach is silent. */
  ConverterModel converter(long id, int door) {
    Placed found = converters.get(id);
    int region = found.zone % options.regions();
    return network.reaches(doorRegion(door), region) ? found.model : unreachable;
  }

  /** One converter is replaced by another, as deployments do; discovery tells of it. */
  void replaceOne() {
    List<RosterModel.Change> changes = roster.replaceOne((long) now());
    RosterModel.Converter old = changes.get(0).converter();
    RosterModel.Converter replacement = changes.get(2).converter();
    converters.put(replacement.id(), new Placed(newConverter(now()), replacement.zone()));
    time.after(DRAIN_MS, () -> failConverters(List.of(old), ConverterModel.Health.DIED));
    discovery.tell(changes);
  }

  /** Front doors that restart come back with the list as it was told last, and nothing else. */
  void restartDoor(int number) {
    doors.get(number).kill();
    doors.set(number, new HollowDoor(this, number, random.nextLong()));
    doors.get(number).start(roster.entries());
  }

  /** Some converters fail, or heal where the health is UP. */
  void failConverters(List<RosterModel.Converter> which, ConverterModel.Health how) {
    for (RosterModel.Converter c : which) {
      if (how == ConverterModel.Health.UP) {
        converters.get(c.id()).model.heal();
      } else {
        converters.get(c.id()).model.fail(how, now());
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

  List<HollowDoor> doors() {
    return doors;
  }

  RosterModel roster() {
    return roster;
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
