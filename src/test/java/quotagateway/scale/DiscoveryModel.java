package quotagateway.scale;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * A model of discovery on virtual time, with one agent per gateway. Changes reach each agent after
 * a random delay. Discovery can fall silent, publish late, or withhold part of the changes until
 * the next publication.
 */
final class DiscoveryModel {

  /**
   * State of discovery. SILENT: nothing is published until recovery, and then all changes at once.
   * LATE: messages have an additional delay. PARTIAL: only half of the pending changes are
   * published.
   */
  enum Health {
    UP,
    SILENT,
    LATE,
    PARTIAL
  }

  private static final double MIN_DELAY_MS = 100;
  private static final double MAX_DELAY_MS = 500;
  private static final double LATE_MS = 4_000;

  /** With more pending changes than this at recovery, the complete list is published instead. */
  private static final int MAX_PENDING_CHANGES = 1_000;

  private final SimulatedFleet fleet;
  private final EndpointListModel endpointList;
  private final SplittableRandom random;
  private final List<EndpointListModel.Change> pending = new ArrayList<>();
  private Health health = Health.UP;

  DiscoveryModel(SimulatedFleet fleet, EndpointListModel endpointList, SplittableRandom random) {
    this.fleet = fleet;
    this.endpointList = endpointList;
    this.random = random;
  }

  /** Publishes changes, and those still pending, to all gateways as the state allows. */
  void announce(List<EndpointListModel.Change> changes) {
    pending.addAll(changes);
    if (health == Health.SILENT) {
      return;
    }
    int publishedCount = health == Health.PARTIAL ? (pending.size() + 1) / 2 : pending.size();
    publish(endpointList.deltaMessage(List.copyOf(pending.subList(0, publishedCount))));
    pending.subList(0, publishedCount).clear();
  }

  void setHealth(Health newHealth) {
    boolean recovers = health != Health.UP && newHealth == Health.UP;
    health = newHealth;
    if (recovers && pending.size() > MAX_PENDING_CHANGES) {
      pending.clear();
      publish(endpointList.snapshotMessage());
    } else if (recovers && !pending.isEmpty()) {
      announce(List.of());
    }
  }

  private void publish(String message) {
    byte[] bytes = message.getBytes(StandardCharsets.UTF_8);
    double extraDelayMs = health == Health.LATE ? LATE_MS : 0;
    for (SimulatedGateway gateway : fleet.gateways()) {
      double delayMs =
          extraDelayMs + MIN_DELAY_MS + (MAX_DELAY_MS - MIN_DELAY_MS) * random.nextDouble();
      fleet
          .time()
          .scheduleAfter(
              delayMs,
              () -> {
                FleetStatistics figures = fleet.figures(0);
                figures.endpointListMessages++;
                figures.endpointListBytes += bytes.length;
                gateway.receiveEndpointList(bytes);
              });
    }
  }
}
