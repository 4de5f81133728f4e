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
 * The scale tests themselves: stand-ins, figures, and the quick form of each sweep; never a time.
 */
@Timeout(180)
class ScaleTest {

  private final VirtualTime time = new VirtualTime(0);

  @Test
  void virtualTimeRunsTasksInOrderAndNoneTwice() {
    List<String> done = new ArrayList<>();
    time.at(20, () -> done.add("c"));
    time.at(
        10,
        () -> {
          done.add("a");
          time.after(0, () -> done.add("b"));
        });
    time.at(31, () -> done.add("late"));
    time.runUntil(30);
    assertEquals(List.of("a", "b", "c"), done);
    assertEquals(30, time.now());
  }

  @Test
  void growthIsFittedAndTheBudgetsCrossingFound() {
    List<Growth.Point> linear =
        List.of(new Growth.Point(10, 30), new Growth.Point(100, 300), new Growth.Point(1000, 3000));
    Growth growth = Growth.fit(linear);
    assertEquals(3, growth.slope(), 1e-9);
    assertEquals(1, growth.exponent(), 1e-9);
    assertEquals(200, Growth.crossing(linear, 600), 1e-6);
    assertTrue(Double.isNaN(Growth.crossing(linear, 3001)));
    assertEquals(10, Growth.crossing(linear, 1));
  }

  /** Answers of a counter shard, with the ends of connections beside its lines. */
  private static final class Answers implements CounterShard.Answer {
    final List<String> seen = new ArrayList<>();

    @Override
    public void line(String text) {
      seen.add(text);
    }

    @Override
    public void refused() {
      seen.add("refused");
    }

    @Override
    public void cut() {
      seen.add("cut");
    }
  }

  @Test
  void aCounterShardKeepsToThePublishedProtocol() {
    CounterShard shard = new CounterShard(time, 1, 10);
    Answers answers = new Answers();
    shard.call("incr a 2.5 100", answers);
    shard.call("incr a -1 100000", answers);
    shard.call("incr a", answers);
    shard.call("incr b 1e10 100", answers);
    shard.call("decr b 1 100", answers);
    shard.call("incr c 1234567.89 100", answers);
    time.runUntil(50);
    assertEquals(
        List.of("ok 2.500000", "ok 1.500000", "error", "error", "error", "ok 1234568"),
        answers.seen);
    answers.seen.clear();
    time.runUntil(200);
    shard.call("incr a 1 100", answers);
    time.runUntil(300);
    assertEquals(List.of("ok 1"), answers.seen, "a name lives as long as it was told first");
  }

  @Test
  void aCounterShardTurnsAwayWhatWouldWaitTooLong() {
    CounterShard shard = new CounterShard(time, 5, 10);
    Answers answers = new Answers();
    for (int i = 0; i < 4; i++) {
      shard.call("incr a 1 1000", answers);
    }
    time.runUntil(100);
    assertEquals(List.of("busy", "ok 1", "ok 2", "ok 3"), answers.seen);
  }

  @Test
  void aCounterShardFailsAsARealOneDoes() {
    CounterShard shard = new CounterShard(time, 1, 10);
    Answers answers = new Answers();
    shard.call("incr a 1 60000", answers);
    time.runUntil(5);
    shard.call("incr a 1 60000", answers);
    shard.fail(CounterShard.Health.DOWN);
    shard.call("incr a 1 60000", answers);
    time.runUntil(10);
    assertEquals(List.of("ok 1", "refused", "cut"), answers.seen);
    shard.restart(true);
    shard.call("incr a 1 60000", answers);
    time.runUntil(20);
    shard.fail(CounterShard.Health.SILENT);
    shard.call("incr a 1 60000", answers);
    time.runUntil(30);
    shard.restart(false);
    shard.call("incr a 1 60000", answers);
    time.runUntil(40);
    assertEquals(List.of("ok 1", "refused", "cut", "ok 2", "ok 1"), answers.seen);
  }

  @Test
  void aBackendAnswersQueuesAndFails() {
    BackendModel backend = new BackendModel(10, 0, new SplittableRandom(1));
    BackendModel.Ending ending = backend.attempt(0, 4_000);
    assertEquals(Status.OK, ending.status());
    for (int i = 0; i < 500; i++) {
      ending = backend.attempt(0, 4_000);
    }
    assertEquals(Status.REJECTED, ending.status());
    assertEquals(Status.TIMED_OUT, backend.attempt(100_000, 0.01).status());
    BackendModel.Ending planned = backend.attempt(200_000, 4_000);
    backend.fail(BackendModel.Health.DIED, 200_000.1);
    assertEquals(Status.RESET, backend.revised(planned, 200_000).status());
    assertEquals(Status.CONNECT_FAILED, backend.attempt(200_001, 4_000).status());
  }

  @Test
  void theListIsReadByTheProgramAndItsChangesNameTheSameBackends() throws IOException {
    EndpointListModel model = new EndpointListModel(57, 7070, 3);
    EndpointsUpdated whole = WireFormats.readEndpointList(bytes(model.wholeMessage()));
    assertEquals(EndpointListForm.SNAPSHOT, whole.form());
    assertEquals(model.entries(), whole.endpoints());
    List<EndpointListModel.Change> changes = model.replaceOne(5);
    EndpointsUpdated told = WireFormats.readEndpointList(bytes(model.changeMessage(changes)));
    assertEquals(EndpointListForm.DELTA, told.form());
    assertEquals(changes.stream().map(EndpointListModel::entry).toList(), told.endpoints());
    assertEquals(3, model.zone(1, EndpointState.REMOVED).size());
    assertEquals(57, model.size());
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  @Test
  void everyRequestOfAHollowFleetEndsOnceAndASeedRepeatsItself() {
    FleetFigures first = play(3, 5);
    FleetFigures again = play(3, 5);
    FleetFigures other = play(3, 6);
    long ended = first.served + first.refused + first.failed;
    assertTrue(
        Math.abs(first.asked - ended) < first.asked / 20,
        first.asked + " asked, " + ended + " ended");
    assertEquals(first.served, again.served);
    assertEquals(first.counterBytes, again.counterBytes);
    assertEquals(first.addedMicros, again.addedMicros);
    assertFalse(first.served == other.served && first.counterBytes == other.counterBytes);
  }

  private static FleetFigures play(int spread, long seed) {
    HollowFleet fleet = new HollowFleet(FleetOptions.of(6, spread, 200, seed));
    fleet.run(4_000);
    return fleet.run(4_000).others();
  }

  /** With one entry point nothing is shared, so the true stores and the module must agree. */
  @Test
  void throughOneGatewayTheStandInsAndTheModuleAgreeOnTheQuota() {
    FleetFigures figures = play(1, 1);
    assertTrue(figures.refused > 0 && figures.served > 0);
    assertTrue(
        figures.refusedWithRoomShare() < 0.01,
        figures.refusedWithRoomShare() + " refused with room");
    assertTrue(figures.beyondShare() < 0.01, figures.beyondShare() + " sent beyond");
  }

  @Test
  void discoveryFallsSilentTellsLateOrInPartAndMakesUpForIt() {
    HollowFleet fleet = new HollowFleet(FleetOptions.of(4, 2, 100, 1));
    fleet.discovery().become(DiscoveryModel.Health.SILENT);
    fleet.replaceOne();
    assertEquals(0, fleet.run(3_000).others().endpointListMessages);
    fleet.discovery().become(DiscoveryModel.Health.LATE);
    fleet.replaceOne();
    assertEquals(0, fleet.run(3_000).others().endpointListMessages);
    assertEquals(4, fleet.run(3_000).others().endpointListMessages);
    fleet.discovery().become(DiscoveryModel.Health.PARTIAL);
    fleet.replaceOne();
    assertEquals(4, fleet.run(3_000).others().endpointListMessages);
    fleet.discovery().become(DiscoveryModel.Health.UP);
    assertEquals(4, fleet.run(3_000).others().endpointListMessages);
  }

  @Test
  void theAgentTellsTheListFirstThenChangesAndCutsOrFallsSilent() throws IOException {
    EndpointListModel model = new EndpointListModel(20, 7070, 1);
    model.changeMessage(List.of());
    try (DiscoveryAgent agent = new DiscoveryAgent(model.wholeMessage(), model.version());
        Socket watch = new Socket(InetAddress.getLoopbackAddress(), agent.port())) {
      watch.setSoTimeout(20_000);
      watch
          .getOutputStream()
          .write(bytes("GET /discovery/hosts?stream=1&index=0 HTTP/1.1\r\n\r\n"));
      BufferedReader in =
          new BufferedReader(new InputStreamReader(watch.getInputStream(), StandardCharsets.UTF_8));
      assertTrue(message(in).contains("\"full\":true"));
      // The list is told before the watch is among those that hear of changes.
      String change = model.changeMessage(model.replaceOne(1));
      while (agent.watching() == 0) {
        Thread.onSpinWait();
      }
      agent.tell(change);
      assertTrue(message(in).contains("\"leaving\""));
      agent.cut(change, 40);
      String rest = in.lines().reduce("", String::concat);
      assertFalse(rest.contains("]}"), "the message was cut: " + rest);
      assertEquals(1, agent.opened());
    }
  }

  private static String message(BufferedReader in) throws IOException {
    String line = in.readLine();
    while (!line.startsWith("{")) {
      line = in.readLine();
    }
    return line;
  }

  /**
   * The quick form as a whole: each sweep gives every figure at every size, and each figure makes
   * sense.
   */
  @Test
  void theQuickFormOfEverySweepGivesAllItsFigures(@TempDir Path folder) throws IOException {
    Path out = folder.resolve("out.jsonl");
    int code =
        new CommandLine(new ScaleCommand())
            .execute("--quick", "--seconds=0.3", "--seed=2", "--out=" + out);
    assertEquals(0, code);
    Map<String, Map<Double, Set<String>>> metrics = new TreeMap<>();
    ObjectMapper json = new ObjectMapper();
    for (String line : Files.readAllLines(out)) {
      JsonNode m = json.readTree(line);
      double median = m.get("median").asDouble();
      String metric = m.get("metric").asText();
      assertTrue(Double.isFinite(median), line);
      assertTrue(m.get("least").asDouble() <= median && median <= m.get("most").asDouble(), line);
      assertTrue(!metric.endsWith("_share") || (median >= 0 && median <= 1), line);
      assertEquals(2, m.get("seed").asInt());
      metrics
          .computeIfAbsent(m.get("sweep").asText(), s -> new TreeMap<>())
          .computeIfAbsent(m.get("size").asDouble(), s -> new TreeSet<>())
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
        metrics.get("program").get(1_000.0).contains("zone_hold_ms"), "the program took no list");
    metrics.forEach(
        (sweep, sizes) -> {
          if (!sweep.equals("shards") && !sweep.equals("incidents")) {
            assertEquals(
                1,
                Set.copyOf(sizes.values()).size(),
                sweep + " lacks figures at some size: " + sizes);
          }
        });
  }

  @Test
  void anUnknownSweepIsAnErrorOfUse() {
    assertEquals(
        CommandLine.ExitCode.USAGE, new CommandLine(new ScaleCommand()).execute("nothing"));
  }
}
