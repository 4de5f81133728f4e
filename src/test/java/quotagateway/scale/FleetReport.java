package quotagateway.scale;

/** Reports the measurements that all sweeps over simulated fleets have in common. */
final class FleetReport {

  private final Measurement.Subject subject;
  private final Report report;

  FleetReport(Measurement.Subject subject, Report report) {
    this.subject = subject;
    this.report = report;
  }

  void add(double size, String metric, double value) {
    report.add(Measurement.of(subject, size, metric, value));
  }

  /**
   * Adds the quality of quota decisions and the counter calls; metric names start with the prefix.
   */
  void decisions(double size, String prefix, FleetStatistics figures) {
    add(size, prefix + "served_share", figures.servedShare());
    add(size, prefix + "served_of_grantable", figures.servedOfGrantable());
    add(size, prefix + "refused_with_room", figures.rejectedWithinQuotaShare());
    add(size, prefix + "light_refused", figures.lightRejectedShare());
    add(size, prefix + "sent_beyond_quota", figures.beyondShare());
    add(size, prefix + "calls_each", figures.callsEach());
  }

  /** Adds the traffic of each role per second, the attempts and the added latency. */
  void roles(double size, SimulatedFleet.Span span, int gateways) {
    FleetStatistics statistics = span.others();
    add(size, "counter_calls_per_s", statistics.counterCalls / span.seconds());
    add(size, "counter_bytes_per_s", statistics.counterBytes / span.seconds());
    add(size, "gateway_counter_bytes_per_s", statistics.counterBytes / span.seconds() / gateways);
    add(size, "gateway_list_bytes_per_s", statistics.endpointListBytes / span.seconds() / gateways);
    add(size, "discovery_messages_per_s", statistics.endpointListMessages / span.seconds());
    add(size, "discovery_bytes_per_s", statistics.endpointListBytes / span.seconds());
    add(size, "attempts_each", statistics.attempts / (double) Math.max(1, statistics.received));
    add(size, "new_connection_share", statistics.newConnectionShare());
    add(size, "added_ms_p50", statistics.addedMs(50));
    add(size, "added_ms_p99", statistics.addedMs(99));
  }
}
