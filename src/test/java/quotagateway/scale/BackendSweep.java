package quotagateway.scale;

import java.io.IOException;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import quotagateway.endpoint.Endpoint;
import quotagateway.endpoint.EndpointListForm;
import quotagateway.endpoint.EndpointState;
import quotagateway.policy.GatewayPolicy;
import quotagateway.policy.action.Action;
import quotagateway.policy.action.ScheduleTimer;
import quotagateway.policy.action.Timer;
import quotagateway.policy.event.EndpointsUpdated;
import quotagateway.policy.event.TimerFired;
import quotagateway.testing.WireFormats;

/**
 * What the decision module pays for the length of its list: for a change, a lost zone, and to hold
 * it.
 */
final class BackendSweep implements Sweep {

  /** Gateways of the target, by which the module sizes its subset. */
  private static final int GATEWAYS = 2_000;

  private static final int MAX_CHANGES = 300;
  private static final int QUICK_CHANGES = 30;
  private static final int MAX_ZONES = 9;
  private static final int MAX_REQUESTS = 20_000;
  private static final int CUSTOMERS = 500;

  /** Backends held together when their heap is measured: enough that nothing else matters. */
  private static final int MIN_HELD = 100_000;

  /**
   * The module asks by this timer for a further turn, in which it removes more of those that left.
   */
  private static final Timer SWEEP = Timer.ENDPOINT_SWEEP;

  /** Entries of one message: less than the reader takes at once. */
  private static final int MESSAGE = 5_000;

  @Override
  public String name() {
    return "backends";
  }

  @Override
  public void run(Plan plan, Report report) throws IOException {
    report.budget("change_ms", 0.05);
    report.budget("zone_hold_ms", 2);
    report.budget("heap_bytes_each", 64);
    measure(
        plan.subject(this, "warm-up"), 1_000, plan, new Report(Writer.nullWriter(), System.out));
    for (int size :
        plan.sizes(
            new int[] {1_000, 3_000}, new int[] {1_000, 3_000, 10_000, 30_000, 100_000, 200_000})) {
      measure(plan.subject(this, "backends"), size, plan, report);
    }
    report.print(name());
  }

  private void measure(Measurement.Subject subject, int size, Plan plan, Report report)
      throws IOException {
    EndpointListModel model = new EndpointListModel(size, 7070, plan.seed());
    GatewayPolicy[] copies =
        new GatewayPolicy[Math.max(1, (plan.quick() ? MIN_HELD / 10 : MIN_HELD) / size)];
    double[] firstMs = new double[copies.length];
    long before = Stopwatch.liveHeap();
    for (int i = 0; i < copies.length; i++) {
      copies[i] = new GatewayPolicy(ScaleSettings.of(GATEWAYS, i), plan.seed());
      copies[i].start(0);
      firstMs[i] = fill(copies[i], model);
    }
    double heapEach = (Stopwatch.liveHeap() - before) / (double) copies.length / size;
    report.add(Measurement.of(subject, size, "first_list_ms", firstMs));
    report.add(Measurement.of(subject, size, "heap_bytes_each", heapEach));
    GatewayPolicy policy = copies[0];
    copies = null;
    double third = plan.secondsEach() / 3;
    double[] changeMs = changes(policy, model, plan.quick() ? QUICK_CHANGES : MAX_CHANGES, third);
    report.add(Measurement.of(subject, size, "change_ms", changeMs));
    report.add(Measurement.of(subject, size, "zone_hold_ms", zones(policy, model, third)));
    report.add(Measurement.of(subject, size, "request_us", requests(policy, third)));
  }

  /** Reads the list in messages and hands it on; gives the processor time of both. */
  private static double fill(GatewayPolicy policy, EndpointListModel model) throws IOException {
    double spent = 0;
    List<EndpointListModel.Change> all =
        model.backends().stream()
            .map(c -> new EndpointListModel.Change(c, EndpointState.SERVING))
            .toList();
    List<Endpoint> entries = new ArrayList<>();
    for (int from = 0; from < all.size(); from += MESSAGE) {
      List<EndpointListModel.Change> part = all.subList(from, Math.min(all.size(), from + MESSAGE));
      byte[] message = model.changeMessage(part).getBytes(StandardCharsets.UTF_8);
      double cpu = Stopwatch.cpuMs();
      entries.addAll(WireFormats.readEndpointList(message).endpoints());
      spent += Stopwatch.cpuMs() - cpu;
    }
    double cpu = Stopwatch.cpuMs();
    policy.on(1, new EndpointsUpdated(EndpointListForm.CACHED_SNAPSHOT, entries));
    return spent + Stopwatch.cpuMs() - cpu;
  }

  private double[] changes(GatewayPolicy policy, EndpointListModel model, int most, double seconds)
      throws IOException {
    List<EndpointsUpdated> news = new ArrayList<>();
    for (int i = 0; i < most / 3; i++) {
      for (EndpointListModel.Change change : model.replaceOne(1 + i)) {
        news.add(endpointList(model, List.of(change)));
      }
    }
    int[] next = new int[1];
    return Stopwatch.repeat(news.size(), seconds, () -> policy.on(2, news.get(next[0]++)));
  }

  private static EndpointsUpdated endpointList(
      EndpointListModel model, List<EndpointListModel.Change> changes) throws IOException {
    List<Endpoint> entries = new ArrayList<>();
    for (int from = 0; from < changes.size(); from += MESSAGE) {
      List<EndpointListModel.Change> part =
          changes.subList(from, Math.min(changes.size(), from + MESSAGE));
      String message = model.changeMessage(part);
      entries.addAll(
          WireFormats.readEndpointList(message.getBytes(StandardCharsets.UTF_8)).endpoints());
    }
    return new EndpointsUpdated(EndpointListForm.DELTA, entries);
  }

  /**
   * Zones go one after the other, each coming back before the next; the longest turn of the loop
   * each.
   */
  private static double[] zones(GatewayPolicy policy, EndpointListModel model, double seconds)
      throws IOException {
    double until = Stopwatch.wallMs() + 1000 * seconds;
    double[] times = new double[MAX_ZONES];
    int done = 0;
    do {
      EndpointsUpdated gone = endpointList(model, model.zone(done, EndpointState.REMOVED));
      EndpointsUpdated back = endpointList(model, model.zone(done, EndpointState.SERVING));
      times[done++] = longestTurn(policy, gone);
      longestTurn(policy, back);
    } while (done < MAX_ZONES && Stopwatch.wallMs() < until);
    return Arrays.copyOf(times, done);
  }

  /** Applies a message as the program does; gives the processor time of the longest turn. */
  private static double longestTurn(GatewayPolicy policy, EndpointsUpdated message) {
    double longest = 0;
    List<Action> actions = new ArrayList<>();
    for (EndpointsUpdated piece : WireFormats.fragments(message)) {
      longest =
          Math.max(longest, Stopwatch.repeat(1, 0, () -> actions.addAll(policy.on(3, piece)))[0]);
    }
    while (actions.stream()
        .anyMatch(action -> action instanceof ScheduleTimer wake && wake.timer().equals(SWEEP))) {
      actions.clear();
      longest =
          Math.max(
              longest,
              Stopwatch.repeat(1, 0, () -> actions.addAll(policy.on(4, new TimerFired(SWEEP))))[0]);
    }
    return longest;
  }

  /**
   * Whole requests: the call to the counter, the answer to it, the attempt, and the end of that.
   */
  private static double[] requests(GatewayPolicy policy, double seconds) {
    RequestCycle cycle = new RequestCycle(policy, 1_000, CUSTOMERS);
    int batch = MAX_REQUESTS / 40;
    double[] times =
        Stopwatch.repeat(
            40,
            seconds,
            () -> {
              for (int i = 0; i < batch; i++) {
                cycle.serve(i % CUSTOMERS, 1);
              }
            });
    if (cycle.refused() > cycle.served() / 10) {
      throw new IllegalStateException(cycle.refused() + " refused, " + cycle.served() + " served");
    }
    return Arrays.stream(times).map(ms -> ms * 1000 / batch).toArray();
  }
}
