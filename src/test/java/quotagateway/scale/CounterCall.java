package quotagateway.scale;

import quotagateway.policy.action.IncrementCounter;
import quotagateway.policy.event.CounterReplied;
import quotagateway.policy.event.Status;

/**
 * One call of a simulated gateway to its counter shard. The call ends exactly once, no later than
 * its timeout.
 */
final class CounterCall implements CounterShard.ReplyHandler {

  private static final double ONE_WAY_MS = 0.25;

  private final SimulatedFleet fleet;
  private final SimulatedGateway gateway;
  private final IncrementCounter increment;
  private final double startMs;
  private boolean ended;

  CounterCall(SimulatedFleet fleet, SimulatedGateway gateway, IncrementCounter increment) {
    this.fleet = fleet;
    this.gateway = gateway;
    this.increment = increment;
    startMs = fleet.now();
  }

  void send(String line) {
    FleetStatistics figures = fleet.figures(SimulatedFleet.customerOf(increment.counterName()));
    figures.counterCalls++;
    figures.counterBytes += line.length();
    String request = line.stripTrailing();
    fleet
        .time()
        .scheduleAt(startMs + ScaleSettings.COUNTER_TIMEOUT_MS, () -> end(Status.TIMED_OUT, 0));
    if (fleet.reachesShard(gateway, increment.counterName())) {
      fleet
          .time()
          .scheduleAfter(
              ONE_WAY_MS, () -> fleet.shard(increment.counterName()).call(request, this));
    }
  }

  @Override
  public void onReply(String text) {
    fleet
        .time()
        .scheduleAfter(
            ONE_WAY_MS,
            () -> {
              fleet.figures(SimulatedFleet.customerOf(increment.counterName())).counterBytes +=
                  ended ? 0 : text.length() + 2;
              if (text.startsWith("ok ")) {
                end(Status.OK, Double.parseDouble(text.substring(3)));
              } else {
                end(Status.REJECTED, 0);
              }
            });
  }

  @Override
  public void onConnectionRefused() {
    end(Status.CONNECT_FAILED, 0);
  }

  @Override
  public void onReset() {
    end(Status.RESET, 0);
  }

  private void end(Status status, double total) {
    if (!ended) {
      ended = true;
      gateway.deliverReply(
          new CounterReplied(increment.counterName(), status, total, fleet.now() - startMs));
    }
  }
}
