package quotagateway.soak;

import java.io.Closeable;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/**
 * Runs one plan: starts the gateways, their peers and clients, executes the steps at their times,
 * and checks the result.
 */
final class SoakRun implements Closeable {

  /** Time in which requests, idle connections and abandoned watches of a run must be closed. */
  private static final long SETTLE_MS = 8_000;

  private static final long SETTLE_POLL_MS = 100;

  /** Descriptors that a gateway may hold beyond those at its start: reconnections and files. */
  private static final int EXTRA_DESCRIPTORS = 8;

  private static final long UNDRAIN_AFTER_MS = 1_000;
  private static final long COUNTER_DISRUPTION_MS = 1_000;
  private static final int SHUTDOWN_TIMEOUT_SECONDS = 60;

  private final SoakPlan plan;
  private final History history = new History();
  private final List<SoakBackend> backends = new ArrayList<>();
  private final SoakCounter counter = new SoakCounter();
  private final SoakDiscovery discovery;
  private final List<SoakGateway> gateways = new ArrayList<>();
  private final List<Socket> idleConnections = new CopyOnWriteArrayList<>();
  private final ExecutorService clients = Executors.newCachedThreadPool(SoakRun::newDaemonThread);

  /** One thread for each gateway, so that a restart doesn't delay the steps of other gateways. */
  private final List<ExecutorService> operators = new ArrayList<>();

  /**
   * One thread for each peer that steps disrupt, so that a disruption doesn't delay later steps.
   */
  private final ExecutorService discoveryOperator =
      Executors.newSingleThreadExecutor(SoakRun::newDaemonThread);

  private final ExecutorService counterOperator =
      Executors.newSingleThreadExecutor(SoakRun::newDaemonThread);

  private volatile boolean stopped;

  /**
   * The result of a run.
   *
   * @param requests number of requests that clients sent
   * @param outcomes number of requests by outcome: the response status, or the event that its
   *     client recorded instead
   * @param checks number of checks made on the history
   * @param voided number of failed checks that don't count because this process was delayed
   */
  record Result(
      long seed,
      int requests,
      Map<String, Long> outcomes,
      int checks,
      int voided,
      List<Violation> violations) {

    /** Returns whether so many checks are voided that the run is inconclusive. */
    boolean isVoid() {
      return voided * 10 > checks;
    }
  }

  SoakRun(SoakPlan plan, SoakGateway.Launcher launcher) throws IOException {
    this.plan = plan;
    for (int i = 0; i < plan.backends(); i++) {
      backends.add(new SoakBackend(i, plan, history));
    }
    discovery = new SoakDiscovery(history, backends);
    for (int i = 0; i < plan.gateways(); i++) {
      gateways.add(
          new SoakGateway(i, plan.gateways(), launcher, history, discovery, counter.port()));
      operators.add(Executors.newSingleThreadExecutor(SoakRun::newDaemonThread));
    }
  }

  private static Thread newDaemonThread(Runnable task) {
    Thread thread = new Thread(task, "soak");
    thread.setDaemon(true);
    return thread;
  }

  /** Runs the plan and checks the recorded history and the gateways. */
  Result runPlan() throws IOException, InterruptedException {
    for (SoakGateway gateway : gateways) {
      gateway.start();
    }
    double startMs = history.nowMs();
    for (int i = 0; i < plan.clients(); i++) {
      clients.execute(
          new SoakClient(i, plan.newGenerator("client" + i), gateways, history, () -> stopped));
    }
    for (SoakPlan.Step step : plan.steps()) {
      sleepUntil(startMs + step.atMs());
      execute(step);
    }
    sleepUntil(startMs + SoakPlan.DURATION_MS);
    stopped = true;
    shutDownAndAwait(clients);
    operators.add(discoveryOperator);
    operators.add(counterOperator);
    for (ExecutorService operator : operators) {
      shutDownAndAwait(operator);
    }
    return checkRun();
  }

  private void sleepUntil(double timeMs) throws InterruptedException {
    TimeUnit.MILLISECONDS.sleep(Math.max(0, (long) (timeMs - history.nowMs())));
  }

  private static void shutDownAndAwait(ExecutorService executor) throws InterruptedException {
    executor.shutdown();
    if (!executor.awaitTermination(SHUTDOWN_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
      throw new IllegalStateException("an executor did not terminate in time");
    }
  }

  private interface Task {
    void run() throws IOException, InterruptedException;
  }

  private interface GatewayTask {
    void run(SoakGateway gateway) throws IOException, InterruptedException;
  }

  private void execute(SoakPlan.Step step) {
    switch (step.action()) {
      case RELOAD -> runOnGateway(step, SoakGateway::reload);
      case RELOAD_SERIES -> runOnGateway(step, SoakGateway::reloadRepeatedly);
      case RESTART -> runOnGateway(step, gateway -> gateway.restart(List.of("TERM")));
      case RELOAD_THEN_RESTART ->
          runOnGateway(step, gateway -> gateway.restart(List.of("HUP", "TERM")));
      case RESTART_WITH_SECOND_SIGTERM ->
          runOnGateway(step, gateway -> gateway.restart(List.of("TERM", "TERM")));
      case KILL -> runOnGateway(step, SoakGateway::kill);
      case DRAIN_THEN_UNDRAIN ->
          runOnGateway(step, gateway -> gateway.drainThenUndrain(UNDRAIN_AFTER_MS));
      case UPGRADE -> runOnGateway(step, SoakGateway::upgrade);
      case DRAIN_BACKEND -> toggleBackendDrain(backendIndex(step));
      case REMOVE_BACKEND -> removeBackend(backendIndex(step));
      case SILENCE_DISCOVERY ->
          runOn(
              discoveryOperator,
              step,
              () -> silenceDiscovery(1_000 + (long) (3_000 * step.choice())));
      case FAIL_DISCOVERY ->
          runOn(
              discoveryOperator, step, () -> failDiscovery(1_000 + (long) (2_000 * step.choice())));
      case DISTURB_COUNTER -> runOn(counterOperator, step, () -> disruptCounter(step.choice()));
    }
    if (plan.idleConnections() > 0 && idleConnections.isEmpty()) {
      openIdleConnections(gateways.get(step.target()));
    }
  }

  private int backendIndex(SoakPlan.Step step) {
    return (int) (step.choice() * plan.backends());
  }

  private void runOnGateway(SoakPlan.Step step, GatewayTask task) {
    SoakGateway gateway = gateways.get(step.target());
    runOn(operators.get(step.target()), step, () -> task.run(gateway));
  }

  private void runOn(ExecutorService operator, SoakPlan.Step step, Task task) {
    operator.execute(
        () -> {
          try {
            task.run();
          } catch (IOException e) {
            gateways.get(step.target()).faults().add(step + " failed: " + e);
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
        });
  }

  private void toggleBackendDrain(int backend) {
    if (!discovery.isServing(backend)) {
      discovery.sendState(backend, "active");
    } else if (discovery.servingCount() > 1) {
      discovery.sendState(backend, "leaving");
    }
  }

  private void removeBackend(int backend) {
    if (discovery.isServing(backend) && discovery.servingCount() > 1) {
      discovery.removeBackend(backend);
    }
  }

  private void silenceDiscovery(long ms) throws InterruptedException {
    discovery.setSilent(true);
    TimeUnit.MILLISECONDS.sleep(ms);
    discovery.setSilent(false);
  }

  private void failDiscovery(long ms) throws InterruptedException {
    discovery.setFailing(true);
    TimeUnit.MILLISECONDS.sleep(ms);
    discovery.setFailing(false);
  }

  private void disruptCounter(double choice) throws InterruptedException {
    SoakCounter.Mode[] modes = SoakCounter.Mode.values();
    counter.setMode(modes[1 + (int) (choice * (modes.length - 1))]);
    TimeUnit.MILLISECONDS.sleep(COUNTER_DISRUPTION_MS);
    counter.setMode(SoakCounter.Mode.NORMAL);
  }

  private void openIdleConnections(SoakGateway gateway) {
    for (int i = 0; i < plan.idleConnections(); i++) {
      try {
        idleConnections.add(
            new Socket(gateway.address().getAddress(), gateway.address().getPort()));
      } catch (IOException e) {
        // The gateway accepts no more connections.
        return;
      }
    }
  }

  private Result checkRun() throws IOException, InterruptedException {
    for (Socket socket : idleConnections) {
      socket.close();
    }
    HistoryChecker checker = new HistoryChecker(history, new SoakRunContext());
    List<Violation> violations = new ArrayList<>(checker.check());
    for (SoakGateway gateway : gateways) {
      gateway.checkProcessAndLog();
      for (String fault : gateway.faults()) {
        violations.add(new Violation("fault", fault, List.of()));
      }
    }
    violations.addAll(findDescriptorLeaks());
    return new Result(
        plan.seed(),
        history.requests().size(),
        countOutcomes(),
        checker.checks(),
        checker.voided(),
        violations);
  }

  private Map<String, Long> countOutcomes() {
    return history.requests().keySet().stream()
        .map(id -> outcomeOf(history.eventsOf(id)))
        .collect(Collectors.groupingBy(outcome -> outcome, TreeMap::new, Collectors.counting()));
  }

  private static String outcomeOf(List<HistoryEvent> events) {
    return events.stream()
        .filter(event -> event.kind().endsRequest())
        .findFirst()
        .map(
            event ->
                event.kind() == HistoryEvent.Kind.ANSWERED
                    ? event.detail()
                    : event.kind().toString())
        .orElse("none");
  }

  /**
   * Finds gateways that still hold too many descriptors {@link #SETTLE_MS} after the load ended.
   */
  private List<Violation> findDescriptorLeaks() throws IOException, InterruptedException {
    List<Violation> leaks = new ArrayList<>();
    for (SoakGateway gateway : gateways) {
      if (!gateway.process().isAlive()) {
        continue;
      }
      double untilMs = history.nowMs() + SETTLE_MS;
      int allowed = gateway.descriptorsWhenReady() + EXTRA_DESCRIPTORS;
      int descriptors = gateway.process().descriptors();
      while (descriptors > allowed && history.nowMs() < untilMs) {
        TimeUnit.MILLISECONDS.sleep(SETTLE_POLL_MS);
        descriptors = gateway.process().descriptors();
      }
      if (descriptors > allowed) {
        leaks.add(
            new Violation(
                "descriptor leak",
                "gateway at " + gateway.address(),
                List.of(descriptors + " open, " + allowed + " allowed")));
      }
    }
    return leaks;
  }

  /** Gives the rules access to the state of this run. */
  private final class SoakRunContext implements HistoryChecker.RunContext {

    @Override
    public boolean wasDrainingOrStopping(int gateway, double timeMs) {
      return gateways.get(gateway).wasDrainingOrStopping(timeMs);
    }

    @Override
    public boolean wasKilled(int gateway, double timeMs) {
      return gateways.get(gateway).wasKilled(timeMs);
    }

    @Override
    public List<SoakDiscovery.ClosedSpan> closedSpans() {
      return discovery.closedSpans();
    }

    @Override
    public boolean exhaustsDescriptors() {
      return plan.idleConnections() > 0;
    }
  }

  @Override
  public void close() throws IOException {
    stopped = true;
    history.latenessMonitor().close();
    clients.shutdownNow();
    operators.forEach(ExecutorService::shutdownNow);
    for (Socket socket : idleConnections) {
      socket.close();
    }
    for (SoakGateway gateway : gateways) {
      gateway.close();
    }
    for (SoakBackend backend : backends) {
      backend.close();
    }
    counter.close();
    discovery.close();
  }
}
