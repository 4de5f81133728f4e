package quotagateway.scale;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import quotagateway.endpoint.EndpointState;
import quotagateway.testing.DiscoveryAgent;

/**
 * Measures the gateway in a separate process with a discovery agent, for each length of the
 * endpoint list: whether the gateway accepts the list, at what cost, and how long changes and the
 * loss of a zone stall its event loop.
 */
final class ProgramSweep implements Sweep {

  private static final double MAX_READY_WAIT_SECONDS = 20;
  private static final double MAX_IDLE_WAIT_SECONDS = 10;
  private static final double IDLE_CHECK_MS = 500;
  private static final double MAX_IDLE_CPU_MS = 100;
  private static final int REPLACEMENTS = 10;
  private static final int QUICK_REPLACEMENTS = 2;
  private static final int ZONES = 3;
  private static final double IDLE_MEASUREMENT_MS = 2_000;

  @Override
  public String name() {
    return "program";
  }

  @Override
  public void run(Plan plan, Report report) throws IOException {
    report.budget("zone_hold_ms", 2);
    report.budget("peak_memory_mb", 256);
    for (int size :
        plan.sizes(
            new int[] {1_000}, new int[] {1_000, 3_000, 9_000, 11_000, 30_000, 100_000, 200_000})) {
      measure(plan.subject(this, "backends"), size, plan, report);
    }
    report.print(name());
  }

  private void measure(Measurement.Subject subject, int size, Plan plan, Report report)
      throws IOException {
    EndpointListModel model = new EndpointListModel(size, 9, plan.seed());
    model.deltaMessage(List.of());
    String list = model.snapshotMessage();
    try (DiscoveryAgent agent = new DiscoveryAgent(list, model.version());
        ProgramProcess program = new ProgramProcess(plan.programClasses(), agent.port());
        LoopLatencyProbe probe = new LoopLatencyProbe(program.address())) {
      double startMs = Stopwatch.wallMs();
      awaitCondition(MAX_READY_WAIT_SECONDS, () -> probe.okResponses() > 0 || !program.isAlive());
      boolean ready = probe.okResponses() > 0;
      report.add(Measurement.of(subject, size, "list_bytes", list.length()));
      report.add(Measurement.of(subject, size, "list_taken", ready ? 1 : 0));
      report.add(Measurement.of(subject, size, "watches_opened", agent.openedWatches()));
      report.add(Measurement.of(subject, size, "bytes_told", (double) agent.bytesWritten()));
      if (!ready) {
        return;
      }
      report.add(Measurement.of(subject, size, "ready_ms", Stopwatch.wallMs() - startMs));
      awaitIdle(program);
      report.add(Measurement.of(subject, size, "start_cpu_ms", program.cpuMs()));
      report.add(Measurement.of(subject, size, "peak_memory_mb", program.peakMemoryMb()));
      measureChanges(
          subject,
          size,
          plan.quick() ? QUICK_REPLACEMENTS : REPLACEMENTS,
          model,
          agent,
          program,
          probe,
          report);
      int zones = plan.quick() ? 1 : ZONES;
      report.add(
          Measurement.of(
              subject,
              size,
              "zone_hold_ms",
              measureZoneLosses(zones, model, agent, program, probe)));
      report.add(Measurement.of(subject, size, "peak_memory_mb_zone", program.peakMemoryMb()));
    }
  }

  private static void measureChanges(
      Measurement.Subject subject,
      int size,
      int replacements,
      EndpointListModel model,
      DiscoveryAgent agent,
      ProgramProcess program,
      LoopLatencyProbe probe,
      Report report)
      throws IOException {
    double idleCpuShare = cpuSpentMs(program, IDLE_MEASUREMENT_MS) / IDLE_MEASUREMENT_MS;
    probe.reset();
    double startCpuMs = program.cpuMs();
    double startMs = Stopwatch.wallMs();
    for (int i = 0; i < replacements; i++) {
      for (EndpointListModel.Change change : model.replaceRandomBackend(1)) {
        agent.send(model.deltaMessage(List.of(change)));
      }
      awaitIdle(program);
    }
    double elapsedMs = Stopwatch.wallMs() - startMs;
    double cpuMsPerChange =
        Math.max(0, program.cpuMs() - startCpuMs - idleCpuShare * elapsedMs) / (3 * replacements);
    report.add(Measurement.of(subject, size, "change_cpu_ms", cpuMsPerChange));
    report.add(Measurement.of(subject, size, "ping_ms_p50", probe.percentileMs(50)));
    report.add(Measurement.of(subject, size, "changes_longest_ping_ms", probe.longestMs()));
  }

  /** Returns for each zone the longest response time of the probe while the zone is removed. */
  private static double[] measureZoneLosses(
      int zones,
      EndpointListModel model,
      DiscoveryAgent agent,
      ProgramProcess program,
      LoopLatencyProbe probe)
      throws IOException {
    double[] longestMs = new double[zones];
    for (int zone = 0; zone < zones; zone++) {
      List<EndpointListModel.Change> removals =
          new ArrayList<>(model.zoneChanges(zone, EndpointState.REMOVED));
      probe.reset();
      agent.send(model.deltaMessage(removals));
      awaitIdle(program);
      longestMs[zone] = probe.longestMs();
      agent.send(model.deltaMessage(model.zoneChanges(zone, EndpointState.SERVING)));
      awaitIdle(program);
    }
    return longestMs;
  }

  private static double cpuSpentMs(ProgramProcess program, double ms) throws IOException {
    double startCpuMs = program.cpuMs();
    LockSupport.parkNanos((long) (ms * 1e6));
    return program.cpuMs() - startCpuMs;
  }

  /** Waits up to 10 s until the process does little more than respond to probes. */
  private static void awaitIdle(ProgramProcess program) throws IOException {
    double endMs = Stopwatch.wallMs() + 1000 * MAX_IDLE_WAIT_SECONDS;
    LockSupport.parkNanos((long) (IDLE_CHECK_MS * 1e6 / 2));
    while (cpuSpentMs(program, IDLE_CHECK_MS) > MAX_IDLE_CPU_MS && Stopwatch.wallMs() < endMs) {
      Thread.onSpinWait();
    }
  }

  private static void awaitCondition(double seconds, BooleanSupplier condition) {
    double endMs = Stopwatch.wallMs() + 1000 * seconds;
    while (!condition.getAsBoolean() && Stopwatch.wallMs() < endMs) {
      LockSupport.parkNanos(1_000_000);
    }
  }
}
