package quotagateway.discovery;

import static java.nio.charset.StandardCharsets.US_ASCII;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.function.IntPredicate;
import quotagateway.config.SettingsParser;
import quotagateway.policy.GatewayPolicy;
import quotagateway.policy.action.Action;
import quotagateway.policy.action.ScheduleTimer;
import quotagateway.policy.action.Timer;
import quotagateway.policy.event.EndpointsUpdated;
import quotagateway.policy.event.TimerFired;
import quotagateway.policy.settings.PolicySettings;

/**
 * Prints how long a snapshot, and the removal of a complete zone, occupy the event loop. Reports
 * the elapsed time, and the thread's CPU time, which excludes garbage collection and other
 * programs, and the heap in use after each list.
 */
final class EndpointListTiming {

  private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();
  private static final int ENDPOINT_COUNT = 200_000;
  private static final int ZONES = 19;
  private static final int CELLS = 20;
  private static final int READ_BYTES = 4 * 1024;
  private static final int ENTRY_BYTES = 160;
  private static final double NOW_MS = 1_000_000;

  private final GatewayPolicy policy;
  private final EndpointListReader reader;
  private final double[] micros = new double[ENDPOINT_COUNT];
  private final double[] cpuMicros = new double[ENDPOINT_COUNT];
  private final Queue<Runnable> tasks = new ArrayDeque<>();
  private int steps;
  private boolean sweepPending;

  private EndpointListTiming(PolicySettings settings) {
    policy = new GatewayPolicy(settings, 1);
    policy.start(NOW_MS);
    EndpointUpdateDispatcher dispatcher =
        new EndpointUpdateDispatcher(
            tasks::add,
            update ->
                apply(policy.on(NOW_MS, new EndpointsUpdated(update.form(), update.endpoints()))));
    reader = new EndpointListReader(Integer.MAX_VALUE, dispatcher::dispatch);
  }

  public static void main(String[] arguments) throws IOException {
    PolicySettings settings = SettingsParser.parse(Map.of("Balancers", 2_000));
    for (int round = 0; round < 2; round++) {
      EndpointListTiming timing = new EndpointListTiming(settings);
      timing.send("first list", true, "active", i -> true);
      timing.send("the same list again", true, "active", i -> true);
      timing.send("a zone as removed", false, "left", i -> i % ZONES == 0);
      timing.send("a snapshot without another zone", true, "active", i -> i % ZONES > 1);
    }
  }

  private void apply(List<Action> actions) {
    sweepPending =
        actions.stream()
            .anyMatch(
                action ->
                    action instanceof ScheduleTimer schedule
                        && schedule.timer() == Timer.ENDPOINT_SWEEP);
  }

  private void send(String name, boolean snapshot, String state, IntPredicate included)
      throws IOException {
    steps = 0;
    StringBuilder text =
        new StringBuilder("{\"version\":7,\"full\":" + snapshot + ",\"servers\":[");
    String separator = "";
    for (int i = 0; i < ENDPOINT_COUNT; i++) {
      if (included.test(i)) {
        text.append(separator).append(entry(i, state));
        separator = ",";
      }
      if (text.length() > READ_BYTES - ENTRY_BYTES) {
        read(text);
      }
    }
    read(text.append("]}\n"));
    while (!tasks.isEmpty()) {
      step(tasks.poll()::run);
    }
    while (sweepPending) {
      step(() -> apply(policy.on(NOW_MS, new TimerFired(Timer.ENDPOINT_SWEEP))));
    }
    Arrays.sort(micros, 0, steps);
    Arrays.sort(cpuMicros, 0, steps);
    double sumMicros = Arrays.stream(micros, 0, steps).sum();
    System.gc();
    Runtime runtime = Runtime.getRuntime();
    System.out.printf(
        "%-34s %5d steps, %5.0f ms; us a step: median %4.0f, p99 %5.0f, most %6.0f, own %6.0f; "
            + "%4.1f MB%n",
        name,
        steps,
        sumMicros / 1e3,
        micros[steps / 2],
        micros[(int) (0.99 * steps)],
        micros[steps - 1],
        cpuMicros[steps - 1],
        (runtime.totalMemory() - runtime.freeMemory()) / 1e6);
  }

  private static String entry(int i, String state) {
    return "{\"id\":\"s-"
        + Integer.toHexString(i * 0x9E3779B9)
        + "\",\"addr\":\"10."
        + (i >> 16)
        + "."
        + (i >> 8 & 255)
        + "."
        + (i & 255)
        + ":7070\",\"zone\":\"zone-"
        + i % ZONES
        + "\",\"kind\":\"m2\",\"cell\":"
        + i / ZONES % CELLS
        + ",\"state\":\""
        + state
        + "\",\"weight\":1.0,\"started_ms\":0}";
  }

  private interface Step {
    void run() throws IOException;
  }

  private void read(StringBuilder text) throws IOException {
    byte[] bytes = text.toString().getBytes(US_ASCII);
    text.setLength(0);
    step(() -> reader.read(bytes));
  }

  private void step(Step step) throws IOException {
    long cpuStartNanos = THREADS.getCurrentThreadCpuTime();
    long startNanos = System.nanoTime();
    step.run();
    micros[steps] = (System.nanoTime() - startNanos) / 1e3;
    cpuMicros[steps] = (THREADS.getCurrentThreadCpuTime() - cpuStartNanos) / 1e3;
    steps++;
  }
}
