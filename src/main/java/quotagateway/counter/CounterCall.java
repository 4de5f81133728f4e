package quotagateway.counter;

/**
 * One call to the counter: an increment or a ping. A call that timed out stays among the pending
 * calls of its connection until its reply arrives, since replies arrive in the order of the calls.
 * Not thread-safe: belongs to the event loop of its client.
 */
final class CounterCall {

  /** Null for a ping. */
  private final String counterName;

  private final double startedAtMs;
  private final CounterConnection connection;
  private boolean written;
  private boolean completed;

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

  /** Returns when the call was started, by the client's clock, in milliseconds. */
  double startedAtMs() {
    return startedAtMs;
  }

  /** Returns the connection that the call is written to. */
  CounterConnection connection() {
    return connection;
  }

  /** Records whether the complete call was written to the socket. */
  void setWritten(boolean written) {
    this.written = written;
  }

  /**
   * Returns whether the complete call was written to the socket, so that it may have been executed.
   */
  boolean isWritten() {
    return written;
  }

  boolean isCompleted() {
    return completed;
  }

  /**
   * Marks the call as completed. Later results of the call are ignored.
   *
   * @return false if the call was completed before
   */
  boolean tryComplete() {
    boolean firstCompletion = !completed;
    completed = true;
    return firstCompletion;
  }
}
