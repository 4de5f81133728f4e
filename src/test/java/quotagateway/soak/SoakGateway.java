package quotagateway.soak;

import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import quotagateway.testing.GatewayProcess;
import quotagateway.testing.PortReservation;
import quotagateway.testing.TestClient;

/**
 * A gateway at a fixed address, across the successive processes that serve it. Starts and signals
 * the processes, makes the operators' calls, and records the spans that the rules need to know. Its
 * methods are called by the gateway's operator thread or before and after the steps, except for
 * those that say otherwise.
 */
final class SoakGateway implements Closeable {

  /** Builds the command that starts a gateway process. */
  interface Launcher {
    List<String> command(Path temporaryFolder) throws IOException;
  }

  /** The deadline of all request classes in the settings. */
  static final int DEADLINE_MS = 1_500;

  /** SIGKILL is sent no earlier than this after SIGTERM. */
  private static final long MIN_TERM_TO_KILL_MS = DEADLINE_MS + 700;

  /**
   * Clients keep opening connections for this long after SIGTERM. In an upgrade they don't stop, as
   * the new process accepts connections at the same address.
   */
  private static final double CONNECTIONS_AFTER_TERM_MS = 300;

  /** Clients notice the end of their connections to a killed process within this time. */
  private static final double MAX_KILL_NOTICE_MS = 1_000;

  private static final long MAX_READY_MS = 30_000;
  private static final double MAX_READY_AFTER_UNDRAIN_MS = 2_000;
  private static final long READY_POLL_MS = 20;

  private static final int LOG_TAIL_LINES = 3;

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
  private final List<PortReservation> portReservations = new ArrayList<>();
  private final List<String> faults = new CopyOnWriteArrayList<>();

  /** Spans in which the gateway may close connections unanswered as it drains or shuts down. */
  private final List<Span> drainOrStopSpans = new CopyOnWriteArrayList<>();

  /** Spans in which a process was killed by SIGKILL and clients may not have noticed yet. */
  private final List<Span> killSpans = new CopyOnWriteArrayList<>();

  private GatewayProcess process;
  private InetSocketAddress admin;
  private int reloads;
  private int descriptorsWhenReady;
  private volatile boolean acceptsConnections;

  /** A span of time; its end is positive infinity while it lasts. */
  record Span(double fromMs, double untilMs) {}

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
    listen = reservePort();
    Files.writeString(configFile(), formatConfig());
  }

  /** Reserves a port until this gateway is closed. */
  private InetSocketAddress reservePort() throws IOException {
    PortReservation reservation = new PortReservation();
    portReservations.add(reservation);
    return reservation.address();
  }

  /** Returns the address that clients connect to. Thread-safe. */
  InetSocketAddress address() {
    return listen;
  }

  /** Returns whether clients should open new connections to this gateway. Thread-safe. */
  boolean acceptsConnections() {
    return acceptsConnections;
  }

  /** Returns how many descriptors the first process had open once ready, before any load. */
  int descriptorsWhenReady() {
    return descriptorsWhenReady;
  }

  GatewayProcess process() {
    return process;
  }

  /** Returns the faults of the gateway, none of which a step or a peer's failure excuses. */
  List<String> faults() {
    return faults;
  }

  /** Returns whether the gateway was draining or shutting down at that time. Thread-safe. */
  boolean wasDrainingOrStopping(double timeMs) {
    return drainOrStopSpans.stream()
        .anyMatch(span -> timeMs >= span.fromMs && timeMs <= span.untilMs);
  }

  /** Returns whether the gateway was killed by SIGKILL at that time. Thread-safe. */
  boolean wasKilled(double timeMs) {
    return killSpans.stream().anyMatch(span -> timeMs >= span.fromMs && timeMs <= span.untilMs);
  }

  private Path configFile() {
    return folder.resolve("config.json");
  }

  private String formatConfig() {
    StringBuilder requestClasses = new StringBuilder();
    for (RequestKind kind : RequestKind.values()) {
      requestClasses.append(requestClasses.length() == 0 ? "" : ",");
      requestClasses.append(
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
                number, listen.getPort(), discovery.port(), counterPort, discovery.completeList())
        + SETTINGS.formatted(
            fleetSize,
            number,
            requestClasses,
            400 + reloads,
            HardLimitRule.UNITS_PER_SECOND,
            HardLimitRule.BURST_UNITS,
            HardLimitRule.SLACK_UNITS);
  }

  /** Starts a process and waits until it is ready or failed to start. */
  void start() throws IOException, InterruptedException {
    GatewayProcess started = launch();
    process = started;
    boolean ready = awaitReady(started);
    if (ready && descriptorsWhenReady == 0) {
      descriptorsWhenReady = started.descriptors();
    }
    acceptsConnections = ready;
  }

  private GatewayProcess launch() throws IOException {
    Files.writeString(configFile(), formatConfig());
    admin = reservePort();
    return new GatewayProcess(
        launcher.command(folder),
        Map.of(
            "GW_CONFIG",
            configFile().toString(),
            "GW_MGMT",
            "127.0.0.1:" + admin.getPort(),
            "TMPDIR",
            folder.toString()),
        folder.resolve("log"));
  }

  private boolean awaitReady(GatewayProcess started) throws InterruptedException {
    double fromMs = history.nowMs();
    while (started.isAlive()) {
      if (callOperator("GET /ready") == 200) {
        return true;
      }
      if (history.nowMs() - fromMs > MAX_READY_MS) {
        faults.add("gateway " + number + " was not ready within " + MAX_READY_MS + " ms");
        return false;
      }
      TimeUnit.MILLISECONDS.sleep(READY_POLL_MS);
    }
    faults.add("gateway " + number + " exited during startup; its log ends: " + logTail());
    return false;
  }

  /** Returns the last lines of the log, which tell why a process ended by itself. */
  private String logTail() {
    try {
      List<String> lines = Files.readAllLines(folder.resolve("log"));
      return String.join(
          " | ", lines.subList(Math.max(0, lines.size() - LOG_TAIL_LINES), lines.size()));
    } catch (IOException e) {
      return "unknown: " + e.getMessage();
    }
  }

  /** Makes an operator's call and returns the response status, or 0 if there is no response. */
  int callOperator(String call) {
    try (TestClient caller = new TestClient(admin)) {
      return caller.exchange(call + " HTTP/1.1\r\nHost: x\r\n\r\n").status();
    } catch (IOException e) {
      return 0;
    }
  }

  /** Writes changed settings and sends SIGHUP. */
  void reload() throws IOException, InterruptedException {
    reloads++;
    Files.writeString(configFile(), formatConfig());
    process.signal("HUP");
  }

  /** Sends SIGHUP three times in quick succession, the second time for a truncated file. */
  void reloadRepeatedly() throws IOException, InterruptedException {
    reload();
    String complete = formatConfig();
    Files.writeString(configFile(), complete.substring(0, complete.length() / 2));
    process.signal("HUP");
    reload();
  }

  /**
   * Ends the process with signals and starts another one.
   *
   * @param signals signals to send, without a pause between them
   */
  void restart(List<String> signals) throws IOException, InterruptedException {
    double fromMs = history.nowMs();
    for (String signal : signals) {
      process.signal(signal);
    }
    awaitTermination(process, fromMs);
    drainOrStopSpans.add(new Span(fromMs, history.nowMs()));
    start();
  }

  /** Waits until a process that got SIGTERM has exited, and kills it if that takes too long. */
  private void awaitTermination(GatewayProcess ending, double termSentAtMs)
      throws InterruptedException {
    drainOrStopSpans.add(new Span(termSentAtMs, Double.POSITIVE_INFINITY));
    TimeUnit.MILLISECONDS.sleep((long) CONNECTIONS_AFTER_TERM_MS);
    if (ending == process) {
      acceptsConnections = false;
    }
    long timeToKillMs = (long) (termSentAtMs + MIN_TERM_TO_KILL_MS - history.nowMs());
    if (!ending.awaitExit(Math.max(0, timeToKillMs))) {
      ending.close();
    } else if (ending.exitStatus() != 0 && ending.exitStatus() != 143) {
      faults.add("gateway " + number + " exited with status " + ending.exitStatus());
    }
    drainOrStopSpans.removeIf(span -> span.untilMs == Double.POSITIVE_INFINITY);
  }

  /** Sends SIGKILL and starts another process. */
  void kill() throws IOException, InterruptedException {
    double fromMs = history.nowMs();
    acceptsConnections = false;
    process.close();
    killSpans.add(new Span(fromMs, history.nowMs() + MAX_KILL_NOTICE_MS));
    start();
  }

  /** Drains the gateway and undrains it after the given time. */
  void drainThenUndrain(long ms) throws InterruptedException {
    double fromMs = history.nowMs();
    drainOrStopSpans.add(new Span(fromMs, Double.POSITIVE_INFINITY));
    expectStatus(200, "POST /drain");
    acceptsConnections = false;
    TimeUnit.MILLISECONDS.sleep(ms);
    expectStatus(200, "POST /undrain");
    drainOrStopSpans.removeIf(span -> span.untilMs == Double.POSITIVE_INFINITY);
    drainOrStopSpans.add(new Span(fromMs, history.nowMs()));
    awaitReadyAfterUndrain();
  }

  /** Waits until the gateway is ready after an undrain. */
  private void awaitReadyAfterUndrain() throws InterruptedException {
    double untilMs = history.nowMs() + MAX_READY_AFTER_UNDRAIN_MS;
    while (callOperator("GET /ready") != 200) {
      if (history.nowMs() > untilMs) {
        faults.add("gateway " + number + " did not become ready after undrain");
        return;
      }
      TimeUnit.MILLISECONDS.sleep(READY_POLL_MS);
    }
    acceptsConnections = true;
  }

  private void expectStatus(int expected, String call) {
    int actual = callOperator(call);
    if (actual != expected) {
      faults.add("gateway " + number + " responded with status " + actual + " to " + call);
    }
  }

  /** Starts a new process while the old one runs, then sends SIGTERM to the old one. */
  void upgrade() throws IOException, InterruptedException {
    GatewayProcess old = process;
    GatewayProcess next = launch();
    process = next;
    if (!awaitReady(next)) {
      return;
    }
    double fromMs = history.nowMs();
    old.signal("TERM");
    awaitTermination(old, fromMs);
    drainOrStopSpans.add(new Span(fromMs, history.nowMs()));
  }

  /** Records a fault if the process has exited, and one for each severe line in its log. */
  void checkProcessAndLog() {
    if (!process.isAlive()) {
      faults.add("gateway " + number + " exited unexpectedly with status " + process.exitStatus());
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
    for (PortReservation reservation : portReservations) {
      reservation.close();
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
