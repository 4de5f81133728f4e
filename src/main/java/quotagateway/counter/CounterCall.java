package quotagateway.counter;

/**
 * One call to the counter, an increment or a ping, until its reply. A call that timed out keeps its
 * place among those of its connection, as replies come in the order of the calls. Not thread-safe:
 * belongs to the event loop of its client.
 */
final class CounterCall {

  /** Null for a ping. */
  private final String counterName;

  private final double startedAtMs;
  private final CounterConnection connection;
  private boolean written;
  private boolean ended;

  private CounterCall(String counterName, double startedAtMs, CounterConnection connection) {
    this.counterName = counterName;
    this.startedAtMs = startedAtMs;
    this.connection = connection;
  }

  static CounterCall increment(
      String counterName, double startedAtMs, CounterConnection connection) {
    return new CounterCall(counterName, startedAtMs, connection);
  }

  static CounterCall ping(double startedAtMs, CounterConnection connection) {
    return new CounterCall(null, startedAtMs, connection);
  }

  boolean isPing() {
    return counterName == null;
  }

  String counterName() {
    return counterName;
  }

  /** When it was started, by the client's clock, in milliseconds. */
  double startedAtMs() {
    return startedAtMs;
  }

  /** The connection that it is written to. */
  CounterConnection connection() {
    return connection;
  }

  /** Notes whether its last byte was handed to the kernel. */
  void setWritten(boolean success) {
    written = success;
  }

  /** Whether its last byte was handed to the kernel: then it may have been executed. */
  boolean isWritten() {
    return written;
  }

  boolean isEnded() {
    return ended;
  }

  /**
   * Marks it as ended; what becomes of it later is of no interest.
   *
   * @return false where it had ended before
   */
  boolean end() {
    boolean first = !ended;
    ended = true;
    return first;
  }
}
