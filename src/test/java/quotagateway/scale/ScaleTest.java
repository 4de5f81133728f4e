package quotagateway.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;
import quotagateway.endpoint.EndpointListForm;
import quotagateway.endpoint.EndpointState;
import quotagateway.policy.event.EndpointsUpdated;
import quotagateway.policy.event.Status;
import quotagateway.testing.DiscoveryAgent;
import quotagateway.testing.WireFormats;

/**
 * Tests the scale tests themselves: the models, the statistics and the quick form of each sweep. No
 * test asserts a measured time.
 */
@Timeout(180)
class ScaleTest {

  private final VirtualTime time = new VirtualTime(0);

  @Test
  void virtualTimeRunsDueTasksOnceInOrder() {
    List<String> completed = new ArrayList<>();
    time.scheduleAt(20, () -> completed.add("c"));
    time.scheduleAt(
        10,
        () -> {
          completed.add("a");
          time.scheduleAfter(0, () -> completed.add("b"));
        });
    time.scheduleAt(31, () -> completed.add("late"));
    time.runUntil(30);
    assertEquals(List.of("a", "b", "c"), completed);
    assertEquals(30, time.now());
  }

  @Test
  void growthFitsLinearPointsAndFindsBudgetCrossing() {
    List<Growth.Point> linear =
        List.of(new Growth.Point(10, 30), new Growth.Point(100, 300), new Growth.Point(1000, 3000));
    Growth growth = Growth.fit(linear);
    assertEquals(3, growth.slope(), 1e-9);
    assertEquals(1, growth.exponent(), 1e-9);
    assertEquals(200, Growth.crossing(linear, 600), 1e-6);
    assertTrue(Double.isNaN(Growth.crossing(linear, 3001)));
    assertEquals(10, Growth.crossing(linear, 1));
  }

  /** Records the replies of a counter shard and the failures of its connections. */
  private static final class RecordedReplies implements CounterShard.ReplyHandler {
    final List<String> received = new ArrayList<>();

    @Override
    public void onReply(String text) {
      received.add(text);
    }

    @Override
    public void onConnectionRefused() {
      received.add("refused");
    }

    @Override
    public void onReset() {
      received.add("cut");
    }
  }

  @Test
  void counterShardFollowsPublishedProtocol() {
    CounterShard shard = new CounterShard(time, 1, 10);
    RecordedReplies replies = new RecordedReplies();
    shard.call("incr a 2.5 100", replies);
    shard.call("incr a -1 100000", replies);
    shard.call("incr a", replies);
    shard.call("incr b 1e10 100", replies);
    shard.call("decr b 1 100", replies);
    shard.call("incr c 1234567.89 100", replies);
    time.runUntil(50);
    assertEquals(
        List.of("ok 2.500000", "ok 1.500000", "error", "error", "error", "ok 1234568"),
        replies.received);
    replies.received.clear();
    time.runUntil(200);
    shard.call("incr a 1 100", replies);
    time.runUntil(300);
    assertEquals(List.of("ok 1"), replies.received, "the TTL of a name is that of its first call");
  }

  @Test
  void counterShardRejectsCallsWhenQueueIsTooLong() {
    CounterShard shard = new CounterShard(time, 5, 10);
    RecordedReplies replies = new RecordedReplies();
    for (int i = 0; i < 4; i++) {
      shard.call("incr a 1 1000", replies);
    }
    time.runUntil(100);
    assertEquals(List.of("busy", "ok 1", "ok 2", "ok 3"), replies.received);
  }

  @Test
  void counterShardModelsDownSilentAndRestart() {
    CounterShard shard = new CounterShard(time, 1, 10);
    RecordedReplies replies = new RecordedReplies();
    shard.call("incr a 1 60000", replies);
    time.runUntil(5);
    shard.call("incr a 1 60000", replies);
    shard.fail(CounterShard.Health.DOWN);
    shard.call("incr a 1 60000", replies);
    time.runUntil(10);
    assertEquals(List.of("ok 1", "refused", "cut"), replies.received);
    shard.restart(true);
    shard.call("incr a 1 60000", replies);
    time.runUntil(20);
    shard.fail(CounterShard.Health.SILENT);
    shard.call("incr a 1 60000", replies);
    time.runUntil(30);
    shard.restart(false);
    shard.call("incr a 1 60000", replies);
    time.runUntil(40);
    assertEquals(List.of("ok 1", "refused", "cut", "ok 2", "ok 1"), replies.received);
  }

  @Test
  void backendModelServesQueuesRejectsAndFails() {
    BackendModel backend = new BackendModel(10, 0, new SplittableRandom(1));
    BackendModel.Outcome outcome = backend.attempt(0, 4_000);
    assertEquals(Status.OK, outcome.status());
    for (int i = 0; i < 500; i++) {
      outcome = backend.attempt(0, 4_000);
    }
    assertEquals(Status.REJECTED, outcome.status());
    assertEquals(Status.TIMED_OUT, backend.attempt(100_000, 0.01).status());
    BackendModel.Outcome planned = backend.attempt(200_000, 4_000);
    backend.fail(BackendModel.Health.CRASHED, 200_000.1);
    assertEquals(Status.RESET, backend.actualOutcome(planned, 200_000).status());
    assertEquals(Status.CONNECT_FAILED, backend.attempt(200_001, 4_000).status());
  }

  @Test
  void gatewayDecodesSnapshotsAndDeltasOfListModel() throws IOException {
    EndpointListModel model = new EndpointListModel(57, 7070, 3);
    EndpointsUpdated snapshot = WireFormats.readEndpointList(bytes(model.snapshotMessage()));
    assertEquals(EndpointListForm.SNAPSHOT, snapshot.form());
    assertEquals(model.entries(), snapshot.endpoints());
    List<EndpointListModel.Change> changes = model.replaceRandomBackend(5);
    EndpointsUpdated delta = WireFormats.readEndpointList(bytes(model.deltaMessage(changes)));
    assertEquals(EndpointListForm.DELTA, delta.form());
    assertEquals(changes.stream().map(EndpointListModel::entry).toList(), delta.endpoints());
    assertEquals(3, model.zoneChanges(1, EndpointState.REMOVED).size());
    assertEquals(57, model.size());
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  @Test
  void simulatedFleetEndsRequestsAndIsReproducibleBySeed() {
    FleetStatistics first = runFleet(3, 5);
    FleetStatistics again = runFleet(3, 5);
    FleetStatistics other = runFleet(3, 6);
    long ended = first.served + first.rejected + first.failed;
    assertTrue(
        Math.abs(first.received - ended) < first.received / 20,
        first.received + " received, " + ended + " ended");
    assertEquals(first.served, again.served);
    assertEquals(first.counterBytes, again.counterBytes);
    assertEquals(first.addedMicros, again.addedMicros);
    assertFalse(first.served == other.served && first.counterBytes == other.counterBytes);
  }

  private static FleetStatistics runFleet(int spread, long seed) {
    SimulatedFleet fleet = new SimulatedFleet(FleetOptions.of(6, spread, 200, seed));
    fleet.run(4_000);
    return fleet.run(4_000).others();
  }

  /** With one gateway per customer no quota is shared, so the ledger and the policy must agree. */
  @Test
  void policyAndLedgerAgreeOnQuotaWithOneGatewayPerCustomer() {
    FleetStatistics figures = runFleet(1, 1);
    assertTrue(figures.rejected > 0 && figures.served > 0);
    assertTrue(
        figures.rejectedWithinQuotaShare() < 0.01,
        figures.rejectedWithinQuotaShare() + " rejected within quota");
    assertTrue(figures.beyondShare() < 0.01, figures.beyondShare() + " sent beyond quota");
  }

  @Test
  void discoveryModelPublishesPendingChangesAfterFailures() {
    SimulatedFleet fleet = new SimulatedFleet(FleetOptions.of(4, 2, 100, 1));
    fleet.discovery().setHealth(DiscoveryModel.Health.SILENT);
    fleet.replaceRandomBackend();
    assertEquals(0, fleet.run(3_000).others().endpointListMessages);
    fleet.discovery().setHealth(DiscoveryModel.Health.LATE);
    fleet.replaceRandomBackend();
    assertEquals(0, fleet.run(3_000).others().endpointListMessages);
    assertEquals(4, fleet.run(3_000).others().endpointListMessages);
    fleet.discovery().setHealth(DiscoveryModel.Health.PARTIAL);
    fleet.replaceRandomBackend();
    assertEquals(4, fleet.run(3_000).others().endpointListMessages);
    fleet.discovery().setHealth(DiscoveryModel.Health.UP);
    assertEquals(4, fleet.run(3_000).others().endpointListMessages);
  }

  @Test
  void discoveryAgentSendsListThenChangesAndTruncatesMessages() throws IOException {
    EndpointListModel model = new EndpointListModel(20, 7070, 1);
    model.deltaMessage(List.of());
    try (DiscoveryAgent agent = new DiscoveryAgent(model.snapshotMessage(), model.version());
        Socket watch = new Socket(InetAddress.getLoopbackAddress(), agent.port())) {
      watch.setSoTimeout(20_000);
      watch
          .getOutputStream()
          .write(bytes("GET /discovery/hosts?stream=1&index=0 HTTP/1.1\r\n\r\n"));
      BufferedReader in =
          new BufferedReader(new InputStreamReader(watch.getInputStream(), StandardCharsets.UTF_8));
      assertTrue(readMessage(in).contains("\"full\":true"));
      // The agent sends the list before it registers the watch for changes.
      String change = model.deltaMessage(model.replaceRandomBackend(1));
      while (agent.openWatches() == 0) {
        Thread.onSpinWait();
      }
      agent.send(change);
      assertTrue(readMessage(in).contains("\"leaving\""));
      agent.sendTruncated(change, 40);
      String rest = in.lines().reduce("", String::concat);
      assertFalse(rest.contains("]}"), "the message must be truncated: " + rest);
      assertEquals(1, agent.openedWatches());
    }
  }

  private static String readMessage(BufferedReader in) throws IOException {
    String line = in.readLine();
    while (!line.startsWith("{")) {
      line = in.readLine();
    }
    return line;
  }

  /**
   * Runs all sweeps in their quick form: each reports all of its metrics at every size, with
   * plausible values. The shards and incidents sweeps are exempt from the check that sizes have the
   * same metrics.
   */
  @Test
  void quickSweepsReportAllMetrics(@TempDir Path folder) throws IOException {
    Path out = folder.resolve("out.jsonl");
    int exitCode =
        new CommandLine(new ScaleCommand())
            .execute("--quick", "--seconds=0.3", "--seed=2", "--out=" + out);
    assertEquals(0, exitCode);
    Map<String, Map<Double, Set<String>>> metrics = new TreeMap<>();
    ObjectMapper json = new ObjectMapper();
    for (String line : Files.readAllLines(out)) {
      JsonNode measurement = json.readTree(line);
      double median = measurement.get("median").asDouble();
      String metric = measurement.get("metric").asText();
      assertTrue(Double.isFinite(median), line);
      assertTrue(
          measurement.get("least").asDouble() <= median
              && median <= measurement.get("most").asDouble(),
          line);
      assertTrue(!metric.endsWith("_share") || (median >= 0 && median <= 1), line);
      assertEquals(2, measurement.get("seed").asInt());
      metrics
          .computeIfAbsent(measurement.get("sweep").asText(), s -> new TreeMap<>())
          .computeIfAbsent(measurement.get("size").asDouble(), s -> new TreeSet<>())
          .add(metric);
    }
    assertEquals(
        Set.of(
            "backends",
            "program",
            "gateways-set",
            "gateways-all",
            "spread",
            "changes",
            "tenants",
            "counter",
            "shards",
            "incidents"),
        metrics.keySet());
    assertTrue(
        metrics.get("program").get(1_000.0).contains("zone_hold_ms"),
        "the gateway accepted no list");
    metrics.forEach(
        (sweep, sizes) -> {
          if (!sweep.equals("shards") && !sweep.equals("incidents")) {
            assertEquals(
                1,
                Set.copyOf(sizes.values()).size(),
                sweep + " lacks metrics at some size: " + sizes);
          }
        });
  }

  @Test
  void unknownSweepIsUsageError() {
    assertEquals(
        CommandLine.ExitCode.USAGE, new CommandLine(new ScaleCommand()).execute("nothing"));
  }
}
