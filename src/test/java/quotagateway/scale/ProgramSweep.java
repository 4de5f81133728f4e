package quotagateway.scale;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import quotagateway.endpoint.EndpointState;
import quotagateway.testing.DiscoveryAgent;

/**
 * The real gateway, started with the options of the run line, and an agent with a list of each
 * length: whether it takes the list, at what cost, and how long changes and a lost zone hold its
 * loop.
 */
final class ProgramSweep implements Sweep {

  private static final double READY_SECONDS = 20;
  private static final double SETTLE_SECONDS = 10;
  private static final double QUIET_MS = 500;
  private static final double QUIET_CPU_MS = 100;
  private static final int REPLACEMENTS = 10;
  private static final int QUICK_REPLACEMENTS = 2;
  private static final int ZONES = 3;
  private static final double IDLE_MS = 2_000;

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
    model.changeMessage(List.of());
    String whole = model.wholeMessage();
    try (DiscoveryAgent agent = new DiscoveryAgent(whole, model.version());
        ProgramProcess program = new ProgramProcess(plan.programClasses(), agent.port());
        LoopPing ping = new LoopPing(program.address())) {
      double from = Stopwatch.wallMs();
      until(READY_SECONDS, () -> ping.yes() > 0 || !program.alive());
      boolean ready = ping.yes() > 0;
      report.add(Measurement.of(subject, size, "list_bytes", whole.length()));
      report.add(Measurement.of(subject, size, "list_taken", ready ? 1 : 0));
      report.add(Measurement.of(subject, size, "watches_opened", agent.opened()));
      report.add(Measurement.of(subject, size, "bytes_told", (double) agent.bytes()));
      if (!ready) {
        return;
      }
      report.add(Measurement.of(subject, size, "ready_ms", Stopwatch.wallMs() - from));
      settle(program);
      report.add(Measurement.of(subject, size, "start_cpu_ms", program.cpuMs()));
      report.add(Measurement.of(subject, size, "peak_memory_mb", program.peakMemoryMb()));
      changes(
          subject,
          size,
          plan.quick() ? QUICK_REPLACEMENTS : REPLACEMENTS,
          model,
          agent,
          program,
          ping,
          report);
      int zones = plan.quick() ? 1 : ZONES;
      report.add(
          Measurement.of(subject, size, "zone_hold_ms", zones(zones, model, agent, program, ping)));
      report.add(Measurement.of(subject, size, "peak_memory_mb_zone", program.peakMemoryMb()));
    }
  }

  private static void changes(
      Measurement.Subject subject,
      int size,
      int replacements,
      EndpointListModel model,
      DiscoveryAgent agent,
      ProgramProcess program,
      LoopPing ping,
      Report report)
      throws IOException {
    double idle = spent(program, IDLE_MS) / IDLE_MS;
    ping.reset();
    double cpu = program.cpuMs();
    double from = Stopwatch.wallMs();
    for (int i = 0; i < replacements; i++) {
      for (EndpointListModel.Change change : model.replaceOne(1)) {
        agent.tell(model.changeMessage(List.of(change)));
      }
      settle(program);
    }
    double elapsed = Stopwatch.wallMs() - from;
    double each = Math.max(0, program.cpuMs() - cpu - idle * elapsed) / (3 * replacements);
    report.add(Measurement.of(subject, size, "change_cpu_ms", each));
    report.add(Measurement.of(subject, size, "ping_ms_p50", ping.percentileMs(50)));
    report.add(Measurement.of(subject, size, "changes_longest_ping_ms", ping.longestMs()));
  }

  /** The longest answer to a ping while a zone goes, of each of some zones. */
  private static double[] zones(
      int zones,
      EndpointListModel model,
      DiscoveryAgent agent,
      ProgramProcess program,
      LoopPing ping)
      throws IOException {
    double[] held = new double[zones];
    for (int zone = 0; zone < zones; zone++) {
      List<EndpointListModel.Change> gone =
          new ArrayList<>(model.zone(zone, EndpointState.REMOVED));
      ping.reset();
      agent.tell(model.changeMessage(gone));
      settle(program);
      held[zone] = ping.longestMs();
      agent.tell(model.changeMessage(model.zone(zone, EndpointState.SERVING)));
      settle(program);
    }
    return held;
  }

  private static double spent(ProgramProcess program, double ms) throws IOException {
    double cpu = program.cpuMs();
    LockSupport.parkNanos((long) (ms * 1e6));
    return program.cpuMs() - cpu;
  }

  /** Waits until the process does little but answer pings. */
  private static void settle(ProgramProcess program) throws IOException {
    double until = Stopwatch.wallMs() + 1000 * SETTLE_SECONDS;
    LockSupport.parkNanos((long) (QUIET_MS * 1e6 / 2));
    while (spent(program, QUIET_MS) > QUIET_CPU_MS && Stopwatch.wallMs() < until) {
      Thread.onSpinWait();
    }
  }

  private static void until(double seconds, BooleanSupplier done) {
    double until = Stopwatch.wallMs() + 1000 * seconds;
    while (!done.getAsBoolean() && Stopwatch.wallMs() < until) {
      LockSupport.parkNanos(1_000_000);
    }
  }
}
