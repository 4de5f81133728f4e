package quotagateway.policy;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import quotagateway.endpoint.Endpoint;
import quotagateway.endpoint.EndpointListForm;
import quotagateway.endpoint.EndpointState;
import quotagateway.policy.event.EndpointsUpdated;

/**
 * Measures how long a policy takes to process the change of one endpoint and how much heap it uses
 * for each backend, for endpoint lists of several lengths.
 */
final class EndpointUpdateTiming {

  private static final int[] LENGTHS = {1_000, 10_000, 100_000, 200_000};
  private static final int GATEWAYS = 2_000;
  private static final int ZONES = 19;
  private static final int CELLS = 20;
  private static final int WARM_UP_CHANGES = 2_000;
  private static final int UPDATE_SIZE = 1_000;
  private static final double NOW_MS = 1_000_000;

  private EndpointUpdateTiming() {}

  public static void main(String[] arguments) {
    int changes = arguments.length > 0 ? Integer.parseInt(arguments[0]) : 2_000;
    measure(1_000, changes + WARM_UP_CHANGES);
    System.out.println("backends  one change us: median   p99      most   bytes each");
    for (int length : LENGTHS) {
      measure(length, changes);
    }
  }

  private static void measure(int length, int changes) {
    SplittableRandom random = new SplittableRandom(length);
    long[] ids = random.longs(length).toArray();
    long heapBefore = usedHeap();
    GatewayPolicy policy = new GatewayPolicy(PolicyFixture.settings(true, GATEWAYS, false), 1);
    policy.start(NOW_MS);
    for (int from = 0; from < length; from += UPDATE_SIZE) {
      List<Endpoint> endpoints = new ArrayList<>();
      for (int i = from; i < Math.min(length, from + UPDATE_SIZE); i++) {
        endpoints.add(entry(ids[i], EndpointState.SERVING, 0));
      }
      policy.on(NOW_MS, new EndpointsUpdated(EndpointListForm.DELTA, endpoints));
    }
    double bytesPerBackend = (usedHeap() - heapBefore) / (double) length;
    double[] micros = new double[changes];
    for (int i = 0; i < changes; i++) {
      int index = random.nextInt(length);
      if (i % 3 == 2) {
        policy.on(NOW_MS, change(ids[index], EndpointState.REMOVED, 0));
        ids[index] = random.nextLong();
      }
      EndpointState state = i % 3 == 0 ? EndpointState.DRAINING : EndpointState.SERVING;
      EndpointsUpdated change = change(ids[index], state, i % 3 == 1 ? NOW_MS + i : 0);
      long startedNanos = System.nanoTime();
      policy.on(NOW_MS + i, change);
      micros[i] = (System.nanoTime() - startedNanos) / 1e3;
    }
    Arrays.sort(micros);
    System.out.printf(
        "%8d %24.2f %8.2f %8.1f %9.0f%n",
        length,
        micros[changes / 2],
        micros[(int) (changes * 0.99)],
        micros[changes - 1],
        bytesPerBackend);
  }

  private static EndpointsUpdated change(long id, EndpointState state, double startedMs) {
    return new EndpointsUpdated(EndpointListForm.DELTA, List.of(entry(id, state, startedMs)));
  }

  private static Endpoint entry(long id, EndpointState state, double startedMs) {
    String zone = "zone-" + Math.floorMod(id, ZONES);
    return new Endpoint(id, zone, Math.floorMod(id >> 8, CELLS), state, 1, startedMs);
  }

  private static long usedHeap() {
    System.gc();
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }
}
