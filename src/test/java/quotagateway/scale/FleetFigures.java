package quotagateway.scale;

import org.HdrHistogram.Histogram;

/** What was seen of a fleet, or of some of its customers, over a span of virtual time. */
final class FleetFigures {

  private static final long LONGEST_MICROS = 10_000_000;

  long asked;
  long served;
  long failed;

  /** Refused, and of those with enough units left in the customer's store. */
  long refused;

  long refusedWithRoom;

  /** Of customers that ask for well under their quota on the mean. */
  long lightAsked;

  long lightRefused;

  /** First sends with, and without, enough units in the store. */
  long sentWithin;

  long sentBeyond;

  /** What stores would have granted if each request had drawn its units on coming. */
  long grantable;

  long attempts;
  long newConnections;
  long counterCalls;
  long counterBytes;
  long endpointListMessages;
  long endpointListBytes;

  /** From a request's coming to its first send. */
  final Histogram addedMicros = new Histogram(LONGEST_MICROS, 3);

  double servedShare() {
    return share(served, asked);
  }

  /** Served for each request that a single gateway with one store would have let on. */
  double servedOfGrantable() {
    return share(served, grantable);
  }

  double refusedWithRoomShare() {
    return share(refusedWithRoom, asked);
  }

  double lightRefusedShare() {
    return share(lightRefused, lightAsked);
  }

  double beyondShare() {
    return share(sentBeyond, sentWithin + sentBeyond);
  }

  double callsEach() {
    return share(counterCalls, asked);
  }

  double newConnectionShare() {
    return share(newConnections, attempts);
  }

  double addedMs(double percentile) {
    return addedMicros.getValueAtPercentile(percentile) / 1000.0;
  }

  void added(double ms) {
    addedMicros.recordValue(Math.min(LONGEST_MICROS, Math.max(0, (long) (ms * 1000))));
  }

  private static double share(long part, long whole) {
    return whole == 0 ? 0 : part / (double) whole;
  }
}
