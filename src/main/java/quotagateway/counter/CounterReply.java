package quotagateway.counter;

/**
 * One line received from the counter.
 *
 * @param kind the kind of reply
 * @param total the count after the increment; 0 unless the kind is {@link Kind#TOTAL}
 */
record CounterReply(Kind kind, double total) {

  static final CounterReply REJECTED = new CounterReply(Kind.REJECTED, 0);
  static final CounterReply PONG = new CounterReply(Kind.PONG, 0);
  static final CounterReply MALFORMED = new CounterReply(Kind.MALFORMED, 0);

  /** The kind of a reply. */
  enum Kind {
    /** The amount was added. */
    TOTAL,
    /** The counter is overloaded or does not know the call. Nothing was added. */
    REJECTED,
    /** The reply to a ping. */
    PONG,
    /**
     * The line is not a valid reply. The amount of the call that waits for the reply may have been
     * added.
     */
    MALFORMED
  }

  static CounterReply total(double total) {
    return new CounterReply(Kind.TOTAL, total);
  }
}
