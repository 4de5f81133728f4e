package quotagateway.soak;

import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import quotagateway.testing.GatewayProcess;
import quotagateway.testing.TestClient;

/**
 * One gateway at its address, through all of its processes: starts, signals, operators' calls, and
 * what of that a rule has to know. Its methods are called by the thread that plays the plan, but
 * for those that say otherwise.
 */
final class SoakGateway implements Closeable {

  /** How a gateway's processes are started. */
  interface Launcher {
    List<String> command(Path temporaryFolder) throws IOException;
  }

  /** The longest deadline of the settings. */
  static final int DEADLINE_MS = 1_500;

  /** SIGKILL comes this long after SIGTERM at the earliest. */
  private static final long KILL_AFTER_MS = DEADLINE_MS + 700;

  /** For so long after SIGTERM, or a no to readiness, new connections keep coming. */
  private static final double ADMITTED_AFTER_TERM_MS = 300;

  /** A client reads the end of its connection to a killed process by then. */
  private static final double KILL_SEEN_MS = 1_000;

  private static final long MAX_READY_MS = 30_000;
  private static final double MAX_READY_AFTER_UNDRAIN_MS = 2_000;
  private static final long READY_POLL_MS = 20;

  private static final String SETTINGS =
      """
       "settings":{"Balancers":%d,"SelfIndex":%d,"MyZone":"a","Discovery":"push",
        "Bounds":{"MaxAttempts":4,"Cancel":true,"MaxOpen":1000,"DialTimeoutMs":250,
         "ConnIdleMs":2000,"RetryAfter":true,"MaxRetryAfterMs":500},
        "Extra":{"Counter":true,"CountLimitMs":50,"MaxUnits":8,"CostAfter":false},
        "Rules":{"AnswerSlackMs":8,"ColdFrom":0.2,"ColdMs":9000,"TipMultiple":3,"TipAfterMs":2000,
         "DrainGraceMs":50},
        "Profiles":[%s],
        "Tariffs":[{"Name":"basic","Refill":%d,"PeakUnits":4000,"WorthFactor":1,"OverrunCost":1},
         {"Name":"limited","Refill":20,"PeakUnits":20,"WorthFactor":1,"OverrunCost":1,
          "CeilingRate":%.0f,"CeilingBurst":%.0f,"HardSlack":%.0f}]}}
      """;

  private final int number;
  private final int fleetSize;
  private final Launcher launcher;
  private final History history;
  private final SoakDiscovery discovery;
  private final int counterPort;
  private final Path folder;
  private final InetSocketAddress listen;
  private final List<String> faults = new CopyOnWriteArrayList<>();

  /** Spans in which it may end connections without a response, as it drains or ends. */
  private final List<Leaving> leaving = new CopyOnWriteArrayList<>();

  /** Spans in which it was killed outright. */
  private final List<Leaving> kills = new CopyOnWriteArrayList<>();

  private GatewayProcess process;
  private int adminPort;
  private int reloads;
  private int descriptorsWhenReady;
  private volatile boolean admitted;

  /** A span in which the gateway drains or ends; open ones have no end yet. */
  record Leaving(double fromMs, double untilMs) {}

  SoakGateway(
      int number,
      int fleetSize,
      Launcher launcher,
      History history,
      SoakDiscovery discovery,
      int counterPort)
      throws IOException {
    this.number = number;
    this.fleetSize = fleetSize;
    this.launcher = launcher;
    this.history = history;
    this.discovery = discovery;
    this.counterPort = counterPort;
    folder = Files.createTempDirectory("soak-gateway");
    listen = new InetSocketAddress(InetAddress.getLoopbackAddress(), freePort());
    Files.writeString(configFile(), config());
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }

  /** Where clients connect; any thread may ask. */
  InetSocketAddress address() {
    return listen;
  }

  /** Whether new connections go there; any thread may ask. */
  boolean isAdmitted() {
    return admitted;
  }

  /** Descriptors that its first process had open when it was ready, before any load. */
  int descriptorsWhenReady() {
    return descriptorsWhenReady;
  }

  GatewayProcess process() {
    return process;
  }

  /** What it did that no gateway may do, whatever happens to it. */
  List<String> faults() {
    return faults;
  }

  /** Whether it was draining or ending at that time. */
  boolean wasLeaving(double timeMs) {
    return leaving.stream().anyMatch(span -> timeMs >= span.fromMs && timeMs <= span.untilMs);
  }

  /** Whether it was killed outright at that time. */
  boolean wasKilled(double timeMs) {
    return kills.stream().anyMatch(span -> timeMs >= span.fromMs && timeMs <= span.untilMs);
  }

  private Path configFile() {
    return folder.resolve("config.json");
  }

  private String config() {
    StringBuilder classes = new StringBuilder();
    for (RequestKind kind : RequestKind.values()) {
      classes.append(classes.length() == 0 ? "" : ",");
      classes.append(
          """
          {"Name":"%s","Repeat":"%s","AimMs":700,"DeadlineMs":%d,"Value":1,"Group":"all",
           "RepeatWindowMs":4000}"""
              .formatted(kind.className(), kind.repeat(), DEADLINE_MS));
    }
    return """
        {"name":"n%d","listen":"127.0.0.1:%d","discovery":"127.0.0.1:%d","counter":"127.0.0.1:%d",
         "seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":256},
         "known":%s,
        """
            .formatted(
                number, listen.getPort(), discovery.port(), counterPort, discovery.wholeList())
        + SETTINGS.formatted(
            fleetSize,
            number,
            classes,
            400 + reloads,
            HardLimitRule.UNITS_PER_SECOND,
            HardLimitRule.BURST_UNITS,
            HardLimitRule.SLACK_UNITS);
  }

  /** Starts a process, and returns once it may get connections. */
  void start() throws IOException, InterruptedException {
    GatewayProcess started = launch();
    process = started;
    boolean ready = awaitReady(started);
    if (ready && descriptorsWhenReady == 0) {
      descriptorsWhenReady = started.descriptors();
    }
    admitted = ready;
  }

  private GatewayProcess launch() throws IOException {
    Files.writeString(configFile(), config());
    adminPort = freePort();
    return new GatewayProcess(
        launcher.command(folder),
        Map.of(
            "GW_CONFIG",
            configFile().toString(),
            "GW_MGMT",
            "127.0.0.1:" + adminPort,
            "TMPDIR",
            folder.toString()),
        folder.resolve("log"));
  }

  private boolean awaitReady(GatewayProcess started) throws InterruptedException {
    double from = history.nowMs();
    while (started.isAlive()) {
      if (operator("GET /ready") == 200) {
        return true;
      }
      if (history.nowMs() - from > MAX_READY_MS) {
        faults.add("gateway " + number + " was not ready in " + MAX_READY_MS + " ms");
        return false;
      }
      TimeUnit.MILLISECONDS.sleep(READY_POLL_MS);
    }
    faults.add("gateway " + number + " ended while it started");
    return false;
  }

  /** The status of the response to an operator's call; 0 where there is none. */
  int operator(String call) {
    try (TestClient caller =
        new TestClient(new InetSocketAddress(InetAddress.getLoopbackAddress(), adminPort))) {
      return caller.ask(call + " HTTP/1.1\r\nHost: x\r\n\r\n").status();
    } catch (IOException e) {
      return 0;
    }
  }

  /** Puts other settings into force. */
  void reload() throws IOException, InterruptedException {
    reloads++;
    Files.writeString(configFile(), config());
    process.signal("HUP");
  }

  /** Signals upon signals, one of them upon a file that is not whole. */
  void reloadSeries() throws IOException, InterruptedException {
    reload();
    String whole = config();
    Files.writeString(configFile(), whole.substring(0, whole.length() / 2));
    process.signal("HUP");
    reload();
  }

  /**
   * Ends the process by signals and starts another.
   *
   * @param signals sent at once, one behind another
   */
  void restart(List<String> signals) throws IOException, InterruptedException {
    double from = history.nowMs();
    for (String signal : signals) {
      process.signal(signal);
    }
    awaitEndOf(process, from);
    leaving.add(new Leaving(from, history.nowMs()));
    start();
  }

  /** SIGTERM has been sent; returns when the process has ended, by itself or by SIGKILL. */
  private void awaitEndOf(GatewayProcess ending, double termAtMs) throws InterruptedException {
    leaving.add(new Leaving(termAtMs, Double.POSITIVE_INFINITY));
    TimeUnit.MILLISECONDS.sleep((long) ADMITTED_AFTER_TERM_MS);
    if (ending == process) {
      admitted = false;
    }
    long untilKillMs = (long) (termAtMs + KILL_AFTER_MS - history.nowMs());
    if (!ending.awaitEnd(Math.max(0, untilKillMs))) {
      ending.close();
    } else if (ending.exitStatus() != 0 && ending.exitStatus() != 143) {
      faults.add("gateway " + number + " ended with status " + ending.exitStatus());
    }
    leaving.removeIf(span -> span.untilMs == Double.POSITIVE_INFINITY);
  }

  /** Kills the process and starts another. */
  void kill() throws IOException, InterruptedException {
    double from = history.nowMs();
    admitted = false;
    process.close();
    kills.add(new Leaving(from, history.nowMs() + KILL_SEEN_MS));
    start();
  }

  /** Drains it, and takes that back. */
  void drainThenUndrain(long ms) throws InterruptedException {
    double from = history.nowMs();
    leaving.add(new Leaving(from, Double.POSITIVE_INFINITY));
    expect(200, "POST /drain");
    admitted = false;
    TimeUnit.MILLISECONDS.sleep(ms);
    expect(200, "POST /undrain");
    leaving.removeIf(span -> span.untilMs == Double.POSITIVE_INFINITY);
    leaving.add(new Leaving(from, history.nowMs()));
    awaitReadyAgain();
  }

  /** The drain has been taken back. */
  private void awaitReadyAgain() throws InterruptedException {
    double untilMs = history.nowMs() + MAX_READY_AFTER_UNDRAIN_MS;
    while (operator("GET /ready") != 200) {
      if (history.nowMs() > untilMs) {
        faults.add("gateway " + number + " was not ready after its drain was taken back");
        return;
      }
      TimeUnit.MILLISECONDS.sleep(READY_POLL_MS);
    }
    admitted = true;
  }

  private void expect(int status, String call) {
    int came = operator(call);
    if (came != status) {
      faults.add("gateway " + number + " answered " + came + " to " + call);
    }
  }

  /** Starts a new process beside the old one, which then ends. */
  void upgrade() throws IOException, InterruptedException {
    GatewayProcess old = process;
    GatewayProcess next = launch();
    process = next;
    if (!awaitReady(next)) {
      return;
    }
    double from = history.nowMs();
    old.signal("TERM");
    awaitEndOf(old, from);
    leaving.add(new Leaving(from, history.nowMs()));
  }

  /** Notes what its log and its state tell of faults. */
  void inspect() {
    if (!process.isAlive()) {
      faults.add("gateway " + number + " ended by itself with " + process.exitStatus());
    }
    try (var lines = Files.lines(folder.resolve("log"))) {
      lines
          .filter(line -> line.startsWith("SEVERE") || line.contains("OutOfMemory"))
          .forEach(line -> faults.add("gateway " + number + " logged " + line));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  @Override
  public void close() throws IOException {
    if (process != null) {
      process.close();
    }
    List<Path> files = new ArrayList<>();
    try (var listed = Files.list(folder)) {
      listed.forEach(files::add);
    }
    for (Path file : files) {
      Files.deleteIfExists(file);
    }
    Files.deleteIfExists(folder);
  }
}
