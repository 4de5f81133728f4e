package quotagateway.scale;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * A stand-in for discovery with an agent beside each gateway, on virtual time: changes reach each
 * agent after a delay of its own. It may fall silent, tell late, or tell only a part of a change
 * until the next.
 */
final class DiscoveryModel {

  /** SILENT: nothing is told, and all of it at once on the return. */
  enum Health {
    UP,
    SILENT,
    LATE,
    PARTIAL
  }

  private static final double MIN_DELAY_MS = 100;
  private static final double MAX_DELAY_MS = 500;
  private static final double LATE_MS = 4_000;

  /** After a silence longer than so many changes the whole list is told. */
  private static final int MAX_MISSED = 1_000;

  private final HollowFleet fleet;
  private final EndpointListModel endpointList;
  private final SplittableRandom random;
  private final List<EndpointListModel.Change> missed = new ArrayList<>();
  private Health health = Health.UP;

  DiscoveryModel(HollowFleet fleet, EndpointListModel endpointList, SplittableRandom random) {
    this.fleet = fleet;
    this.endpointList = endpointList;
    this.random = random;
  }

  /** Tells all gateways, as its health allows. */
  void tell(List<EndpointListModel.Change> changes) {
    missed.addAll(changes);
    if (health == Health.SILENT) {
      return;
    }
    int told = health == Health.PARTIAL ? (missed.size() + 1) / 2 : missed.size();
    publish(endpointList.changeMessage(List.copyOf(missed.subList(0, told))));
    missed.subList(0, told).clear();
  }

  void become(Health next) {
    boolean returns = health != Health.UP && next == Health.UP;
    health = next;
    if (returns && missed.size() > MAX_MISSED) {
      missed.clear();
      publish(endpointList.wholeMessage());
    } else if (returns && !missed.isEmpty()) {
      tell(List.of());
    }
  }

  private void publish(String message) {
    byte[] bytes = message.getBytes(StandardCharsets.UTF_8);
    double more = health == Health.LATE ? LATE_MS : 0;
    for (HollowGateway gateway : fleet.gateways()) {
      double delay = more + MIN_DELAY_MS + (MAX_DELAY_MS - MIN_DELAY_MS) * random.nextDouble();
      fleet
          .time()
          .after(
              delay,
              () -> {
                FleetFigures figures = fleet.figures(0);
                figures.endpointListMessages++;
                figures.endpointListBytes += bytes.length;
                gateway.endpointList(bytes);
              });
    }
  }
}
