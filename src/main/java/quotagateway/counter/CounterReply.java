package quotagateway.counter;

/**
 * One line that came from the counter.
 *
 * @param kind what the line says
 * @param total the count after the increment; 0 except with {@link Kind#TOTAL}
 */
record CounterReply(Kind kind, double total) {

  static final CounterReply REJECTED = new CounterReply(Kind.REJECTED, 0);
  static final CounterReply PONG = new CounterReply(Kind.PONG, 0);
  static final CounterReply MALFORMED = new CounterReply(Kind.MALFORMED, 0);

  /** What a line says. */
  enum Kind {
    /** The amount was added. */
    TOTAL,
    /** The counter is overloaded or does not know the call; nothing was added. */
    REJECTED,
    /** The reply to a ping. */
    PONG,
    /** It is no reply. The amount of the call that waits for it may have been added. */
    MALFORMED
  }

  static CounterReply total(double total) {
    return new CounterReply(Kind.TOTAL, total);
  }
}
