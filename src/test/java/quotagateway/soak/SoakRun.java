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

/** Plays one plan: the fleet, its peers and clients, the steps at their times, and the checks. */
final class SoakRun implements Closeable {

  /** What is left over of a run has ended by then: deadlines, idle connections, drained watches. */
  private static final long SETTLE_MS = 8_000;

  private static final long SETTLE_POLL_MS = 100;

  /** Descriptors that a gateway may have beyond those at its start: reconnections, files. */
  private static final int SPARE_DESCRIPTORS = 8;

  private static final long UNDRAIN_AFTER_MS = 1_000;
  private static final long DISTURBANCE_MS = 1_000;
  private static final int WAIT_SECONDS = 60;

  private final SoakPlan plan;
  private final History history = new History();
  private final List<SoakBackend> backends = new ArrayList<>();
  private final SoakCounter counter = new SoakCounter();
  private final SoakDiscovery discovery;
  private final List<SoakGateway> gateways = new ArrayList<>();
  private final List<Socket> crowd = new CopyOnWriteArrayList<>();
  private final ExecutorService clients = Executors.newCachedThreadPool(SoakRun::daemon);

  /** One thread for each gateway, so that a restart does not delay the next step. */
  private final List<ExecutorService> operators = new ArrayList<>();

  /** One thread for each peer that is disturbed for a while, so that steps keep their times. */
  private final ExecutorService discoveryOperator =
      Executors.newSingleThreadExecutor(SoakRun::daemon);

  private final ExecutorService counterOperator =
      Executors.newSingleThreadExecutor(SoakRun::daemon);

  private volatile boolean stopped;

  /**
   * What came of a run.
   *
   * @param requests that clients sent
   * @param outcomes how many of them ended how, by status or by what their client saw
   * @param checks that were made on the history
   * @param voided of them, as a stand-in itself ran late
   */
  record Result(
      long seed,
      int requests,
      Map<String, Long> outcomes,
      int checks,
      int voided,
      List<Violation> violations) {

    /** Whether too much was voided for the run to say anything. */
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
      operators.add(Executors.newSingleThreadExecutor(SoakRun::daemon));
    }
  }

  private static Thread daemon(Runnable work) {
    Thread thread = new Thread(work, "soak");
    thread.setDaemon(true);
    return thread;
  }

  /** Plays the plan and checks what was seen. */
  Result play() throws IOException, InterruptedException {
    for (SoakGateway gateway : gateways) {
      gateway.start();
    }
    double from = history.nowMs();
    for (int i = 0; i < plan.clients(); i++) {
      clients.execute(
          new SoakClient(i, plan.generator("client" + i), gateways, history, () -> stopped));
    }
    for (SoakPlan.Step step : plan.steps()) {
      sleepUntil(from + step.atMs());
      play(step);
    }
    sleepUntil(from + SoakPlan.DURATION_MS);
    stopped = true;
    end(clients);
    operators.add(discoveryOperator);
    operators.add(counterOperator);
    for (ExecutorService operator : operators) {
      end(operator);
    }
    return check();
  }

  private void sleepUntil(double timeMs) throws InterruptedException {
    TimeUnit.MILLISECONDS.sleep(Math.max(0, (long) (timeMs - history.nowMs())));
  }

  private static void end(ExecutorService executor) throws InterruptedException {
    executor.shutdown();
    if (!executor.awaitTermination(WAIT_SECONDS, TimeUnit.SECONDS)) {
      throw new IllegalStateException("a part of the run did not end");
    }
  }

  private interface Work {
    void run() throws IOException, InterruptedException;
  }

  private interface GatewayWork {
    void run(SoakGateway gateway) throws IOException, InterruptedException;
  }

  private void play(SoakPlan.Step step) {
    switch (step.action()) {
      case RELOAD -> onGateway(step, SoakGateway::reload);
      case RELOAD_SERIES -> onGateway(step, SoakGateway::reloadSeries);
      case RESTART -> onGateway(step, gateway -> gateway.restart(List.of("TERM")));
      case RELOAD_THEN_RESTART ->
          onGateway(step, gateway -> gateway.restart(List.of("HUP", "TERM")));
      case RESTART_WITH_SECOND_SIGTERM ->
          onGateway(step, gateway -> gateway.restart(List.of("TERM", "TERM")));
      case KILL -> onGateway(step, SoakGateway::kill);
      case DRAIN_THEN_UNDRAIN ->
          onGateway(step, gateway -> gateway.drainThenUndrain(UNDRAIN_AFTER_MS));
      case UPGRADE -> onGateway(step, SoakGateway::upgrade);
      case DRAIN_BACKEND -> drainBackend(backend(step));
      case REMOVE_BACKEND -> removeBackend(backend(step));
      case SILENCE_DISCOVERY ->
          on(
              discoveryOperator,
              step,
              () -> silenceDiscovery(1_000 + (long) (3_000 * step.choice())));
      case FAIL_DISCOVERY ->
          on(discoveryOperator, step, () -> failDiscovery(1_000 + (long) (2_000 * step.choice())));
      case DISTURB_COUNTER -> on(counterOperator, step, () -> disturbCounter(step.choice()));
    }
    if (plan.crowd() > 0 && crowd.isEmpty()) {
      openCrowd(gateways.get(step.target()));
    }
  }

  private int backend(SoakPlan.Step step) {
    return (int) (step.choice() * plan.backends());
  }

  private void onGateway(SoakPlan.Step step, GatewayWork work) {
    SoakGateway gateway = gateways.get(step.target());
    on(operators.get(step.target()), step, () -> work.run(gateway));
  }

  private void on(ExecutorService operator, SoakPlan.Step step, Work work) {
    operator.execute(
        () -> {
          try {
            work.run();
          } catch (IOException e) {
            gateways.get(step.target()).faults().add(step + " failed: " + e);
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
        });
  }

  private void drainBackend(int backend) {
    if (!discovery.serves(backend)) {
      discovery.change(backend, "active");
    } else if (discovery.serving() > 1) {
      discovery.change(backend, "leaving");
    }
  }

  private void removeBackend(int backend) {
    if (discovery.serves(backend) && discovery.serving() > 1) {
      discovery.leaveOut(backend);
    }
  }

  private void silenceDiscovery(long ms) throws InterruptedException {
    discovery.silence(true);
    TimeUnit.MILLISECONDS.sleep(ms);
    discovery.silence(false);
  }

  private void failDiscovery(long ms) throws InterruptedException {
    discovery.fail(true);
    TimeUnit.MILLISECONDS.sleep(ms);
    discovery.fail(false);
  }

  private void disturbCounter(double choice) throws InterruptedException {
    SoakCounter.Mode[] modes = SoakCounter.Mode.values();
    counter.become(modes[1 + (int) (choice * (modes.length - 1))]);
    TimeUnit.MILLISECONDS.sleep(DISTURBANCE_MS);
    counter.become(SoakCounter.Mode.COUNTS);
  }

  private void openCrowd(SoakGateway gateway) {
    for (int i = 0; i < plan.crowd(); i++) {
      try {
        crowd.add(new Socket(gateway.address().getAddress(), gateway.address().getPort()));
      } catch (IOException e) {
        // It accepts no more.
        return;
      }
    }
  }

  private Result check() throws IOException, InterruptedException {
    for (Socket idle : crowd) {
      idle.close();
    }
    HistoryChecker checker = new HistoryChecker(history, new RunCircumstances());
    List<Violation> violations = new ArrayList<>(checker.check());
    for (SoakGateway gateway : gateways) {
      gateway.inspect();
      for (String fault : gateway.faults()) {
        violations.add(new Violation("fault", fault, List.of()));
      }
    }
    violations.addAll(leftOver());
    return new Result(
        plan.seed(),
        history.requests().size(),
        outcomes(),
        checker.checks(),
        checker.voided(),
        violations);
  }

  private Map<String, Long> outcomes() {
    return history.requests().keySet().stream()
        .map(id -> outcome(history.of(id)))
        .collect(Collectors.groupingBy(outcome -> outcome, TreeMap::new, Collectors.counting()));
  }

  private static String outcome(List<HistoryEvent> events) {
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

  /** What a gateway still holds of the load after a while, beside what it held at its start. */
  private List<Violation> leftOver() throws IOException, InterruptedException {
    List<Violation> found = new ArrayList<>();
    for (SoakGateway gateway : gateways) {
      if (!gateway.process().isAlive()) {
        continue;
      }
      double untilMs = history.nowMs() + SETTLE_MS;
      int allowed = gateway.descriptorsWhenReady() + SPARE_DESCRIPTORS;
      int descriptors = gateway.process().descriptors();
      while (descriptors > allowed && history.nowMs() < untilMs) {
        TimeUnit.MILLISECONDS.sleep(SETTLE_POLL_MS);
        descriptors = gateway.process().descriptors();
      }
      if (descriptors > allowed) {
        found.add(
            new Violation(
                "descriptors left over",
                "gateway at " + gateway.address(),
                List.of(descriptors + " open, " + allowed + " allowed")));
      }
    }
    return found;
  }

  /** What the run knows that rules depend on. */
  private final class RunCircumstances implements HistoryChecker.Circumstances {

    @Override
    public boolean wasLeaving(int gateway, double timeMs) {
      return gateways.get(gateway).wasLeaving(timeMs);
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
    public boolean crowded() {
      return plan.crowd() > 0;
    }
  }

  @Override
  public void close() throws IOException {
    stopped = true;
    history.lateness().close();
    clients.shutdownNow();
    operators.forEach(ExecutorService::shutdownNow);
    for (Socket idle : crowd) {
      idle.close();
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
