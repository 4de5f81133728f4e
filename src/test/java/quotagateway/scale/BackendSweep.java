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
 * Measures how the cost of the policy grows with the length of its endpoint list: memory, and the
 * time to process a change, the loss of a zone and a request.
 */
final class BackendSweep implements Sweep {

  /** Number of gateways in the target; the policy sizes its subset of backends by it. */
  private static final int GATEWAYS = 2_000;

  private static final int MAX_CHANGES = 300;
  private static final int QUICK_CHANGES = 30;
  private static final int MAX_ZONES = 9;
  private static final int MAX_REQUESTS = 20_000;
  private static final int CUSTOMERS = 500;

  /**
   * Minimum number of endpoints held for the heap measurement, so that other memory is negligible.
   */
  private static final int MIN_ENDPOINTS_HELD = 100_000;

  /**
   * Timer with which the policy requests another turn of the event loop to remove more endpoints
   * that are no longer listed.
   */
  private static final Timer SWEEP_TIMER = Timer.ENDPOINT_SWEEP;

  /** Entries per message, below the reader's limit. */
  private static final int MAX_ENTRIES_PER_MESSAGE = 5_000;

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
    GatewayPolicy[] policies =
        new GatewayPolicy
            [Math.max(1, (plan.quick() ? MIN_ENDPOINTS_HELD / 10 : MIN_ENDPOINTS_HELD) / size)];
    double[] firstListMs = new double[policies.length];
    long initialHeap = Stopwatch.liveHeap();
    for (int i = 0; i < policies.length; i++) {
      policies[i] = new GatewayPolicy(ScaleSettings.of(GATEWAYS, i), plan.seed());
      policies[i].start(0);
      firstListMs[i] = loadList(policies[i], model);
    }
    double heapEach = (Stopwatch.liveHeap() - initialHeap) / (double) policies.length / size;
    report.add(Measurement.of(subject, size, "first_list_ms", firstListMs));
    report.add(Measurement.of(subject, size, "heap_bytes_each", heapEach));
    GatewayPolicy policy = policies[0];
    policies = null;
    double secondsPerMetric = plan.secondsEach() / 3;
    double[] changeMs =
        measureChanges(policy, model, plan.quick() ? QUICK_CHANGES : MAX_CHANGES, secondsPerMetric);
    report.add(Measurement.of(subject, size, "change_ms", changeMs));
    report.add(
        Measurement.of(
            subject, size, "zone_hold_ms", measureZoneLosses(policy, model, secondsPerMetric)));
    report.add(
        Measurement.of(subject, size, "request_us", measureRequests(policy, secondsPerMetric)));
  }

  /** Decodes the list and passes it to the policy; returns the processor time of both. */
  private static double loadList(GatewayPolicy policy, EndpointListModel model) throws IOException {
    double spentMs = 0;
    List<EndpointListModel.Change> changes =
        model.backends().stream()
            .map(backend -> new EndpointListModel.Change(backend, EndpointState.SERVING))
            .toList();
    List<Endpoint> entries = new ArrayList<>();
    for (int from = 0; from < changes.size(); from += MAX_ENTRIES_PER_MESSAGE) {
      List<EndpointListModel.Change> batch =
          changes.subList(from, Math.min(changes.size(), from + MAX_ENTRIES_PER_MESSAGE));
      byte[] message = model.deltaMessage(batch).getBytes(StandardCharsets.UTF_8);
      double startCpuMs = Stopwatch.cpuMs();
      entries.addAll(WireFormats.readEndpointList(message).endpoints());
      spentMs += Stopwatch.cpuMs() - startCpuMs;
    }
    double startCpuMs = Stopwatch.cpuMs();
    policy.on(1, new EndpointsUpdated(EndpointListForm.CACHED_SNAPSHOT, entries));
    return spentMs + Stopwatch.cpuMs() - startCpuMs;
  }

  private double[] measureChanges(
      GatewayPolicy policy, EndpointListModel model, int maxChanges, double seconds)
      throws IOException {
    List<EndpointsUpdated> updates = new ArrayList<>();
    for (int i = 0; i < maxChanges / 3; i++) {
      for (EndpointListModel.Change change : model.replaceRandomBackend(1 + i)) {
        updates.add(deltaOf(model, List.of(change)));
      }
    }
    int[] nextIndex = new int[1];
    return Stopwatch.repeat(
        updates.size(), seconds, () -> policy.on(2, updates.get(nextIndex[0]++)));
  }

  private static EndpointsUpdated deltaOf(
      EndpointListModel model, List<EndpointListModel.Change> changes) throws IOException {
    List<Endpoint> entries = new ArrayList<>();
    for (int from = 0; from < changes.size(); from += MAX_ENTRIES_PER_MESSAGE) {
      List<EndpointListModel.Change> batch =
          changes.subList(from, Math.min(changes.size(), from + MAX_ENTRIES_PER_MESSAGE));
      String message = model.deltaMessage(batch);
      entries.addAll(
          WireFormats.readEndpointList(message.getBytes(StandardCharsets.UTF_8)).endpoints());
    }
    return new EndpointsUpdated(EndpointListForm.DELTA, entries);
  }

  /**
   * Removes and restores one zone after another, and returns for each zone the longest turn of the
   * event loop during its removal.
   */
  private static double[] measureZoneLosses(
      GatewayPolicy policy, EndpointListModel model, double seconds) throws IOException {
    double endMs = Stopwatch.wallMs() + 1000 * seconds;
    double[] times = new double[MAX_ZONES];
    int done = 0;
    do {
      EndpointsUpdated removal = deltaOf(model, model.zoneChanges(done, EndpointState.REMOVED));
      EndpointsUpdated restoration = deltaOf(model, model.zoneChanges(done, EndpointState.SERVING));
      times[done++] = longestTurn(policy, removal);
      longestTurn(policy, restoration);
    } while (done < MAX_ZONES && Stopwatch.wallMs() < endMs);
    return Arrays.copyOf(times, done);
  }

  /** Applies a message as the gateway does; returns the processor time of the longest turn. */
  private static double longestTurn(GatewayPolicy policy, EndpointsUpdated message) {
    double longest = 0;
    List<Action> actions = new ArrayList<>();
    for (EndpointsUpdated fragment : WireFormats.fragments(message)) {
      longest =
          Math.max(
              longest, Stopwatch.repeat(1, 0, () -> actions.addAll(policy.on(3, fragment)))[0]);
    }
    while (actions.stream()
        .anyMatch(
            action ->
                action instanceof ScheduleTimer schedule && schedule.timer().equals(SWEEP_TIMER))) {
      actions.clear();
      longest =
          Math.max(
              longest,
              Stopwatch.repeat(
                  1, 0, () -> actions.addAll(policy.on(4, new TimerFired(SWEEP_TIMER))))[0]);
    }
    return longest;
  }

  /**
   * Measures complete requests: the counter call, its reply, the attempt and the end of the
   * attempt.
   */
  private static double[] measureRequests(GatewayPolicy policy, double seconds) {
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
    if (cycle.rejected() > cycle.served() / 10) {
      throw new IllegalStateException(
          cycle.rejected() + " requests rejected, " + cycle.served() + " served");
    }
    return Arrays.stream(times).map(ms -> ms * 1000 / batch).toArray();
  }
}
