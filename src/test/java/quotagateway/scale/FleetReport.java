package quotagateway.scale;

/** The figures of a fleet that every sweep over fleets reports. */
final class FleetReport {

  private final Measurement.Subject subject;
  private final Report report;

  FleetReport(Measurement.Subject subject, Report report) {
    this.subject = subject;
    this.report = report;
  }

  void one(double size, String metric, double value) {
    report.add(Measurement.of(subject, size, metric, value));
  }

  /** How good the decisions are, and what the counter is asked; names begin with the prefix. */
  void decisions(double size, String prefix, FleetFigures figures) {
    one(size, prefix + "served_share", figures.servedShare());
    one(size, prefix + "served_of_grantable", figures.servedOfGrantable());
    one(size, prefix + "refused_with_room", figures.refusedWithRoomShare());
    one(size, prefix + "light_refused", figures.lightRefusedShare());
    one(size, prefix + "sent_beyond_quota", figures.beyondShare());
    one(size, prefix + "calls_each", figures.callsEach());
  }

  /** What each role carries, a second. */
  void roles(double size, HollowFleet.Span span, int gateways) {
    FleetFigures f = span.others();
    one(size, "counter_calls_per_s", f.counterCalls / span.seconds());
    one(size, "counter_bytes_per_s", f.counterBytes / span.seconds());
    one(size, "gateway_counter_bytes_per_s", f.counterBytes / span.seconds() / gateways);
    one(size, "gateway_list_bytes_per_s", f.endpointListBytes / span.seconds() / gateways);
    one(size, "discovery_messages_per_s", f.endpointListMessages / span.seconds());
    one(size, "discovery_bytes_per_s", f.endpointListBytes / span.seconds());
    one(size, "attempts_each", f.attempts / (double) Math.max(1, f.asked));
    one(size, "new_connection_share", f.newConnectionShare());
    one(size, "added_ms_p50", f.addedMs(50));
    one(size, "added_ms_p99", f.addedMs(99));
  }
}
