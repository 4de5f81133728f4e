package quotagateway.scale;

import quotagateway.policy.action.IncrementCounter;
import quotagateway.policy.event.CounterReplied;
import quotagateway.policy.event.Status;

/**
 * One call of a hollow gateway, to its shard and back; it ends once, at its limit at the latest.
 */
final class CounterCall implements CounterShard.Answer {

  private static final double ONE_WAY_MS = 0.25;

  private final HollowFleet fleet;
  private final HollowGateway gateway;
  private final IncrementCounter add;
  private final double begunMs;
  private boolean done;

  CounterCall(HollowFleet fleet, HollowGateway gateway, IncrementCounter add) {
    this.fleet = fleet;
    this.gateway = gateway;
    this.add = add;
    begunMs = fleet.now();
  }

  void write(String line) {
    FleetFigures figures = fleet.figures(HollowFleet.customer(add.counterName()));
    figures.counterCalls++;
    figures.counterBytes += line.length();
    String call = line.stripTrailing();
    fleet.time().at(begunMs + ScaleSettings.COUNT_LIMIT_MS, () -> end(Status.TIMED_OUT, 0));
    if (fleet.reachesShard(gateway, add.counterName())) {
      fleet.time().after(ONE_WAY_MS, () -> fleet.shard(add.counterName()).call(call, this));
    }
  }

  @Override
  public void line(String text) {
    fleet
        .time()
        .after(
            ONE_WAY_MS,
            () -> {
              fleet.figures(HollowFleet.customer(add.counterName())).counterBytes +=
                  done ? 0 : text.length() + 2;
              if (text.startsWith("ok ")) {
                end(Status.OK, Double.parseDouble(text.substring(3)));
              } else {
                end(Status.REJECTED, 0);
              }
            });
  }

  @Override
  public void refused() {
    end(Status.CONNECT_FAILED, 0);
  }

  @Override
  public void cut() {
    end(Status.RESET, 0);
  }

  private void end(Status status, double total) {
    if (!done) {
      done = true;
      gateway.counted(new CounterReplied(add.counterName(), status, total, fleet.now() - begunMs));
    }
  }
}
