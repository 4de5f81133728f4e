package quotagateway.soak;

/**
 * One event of a request, as a stand-in observed it.
 *
 * @param timeMs time since the start of the run
 * @param kind what the stand-in observed
 * @param peer name of the stand-in, such as {@code backend-2}
 * @param detail further text for the report; {@link HistoryChecker} also reads the response status
 *     and the cause of a closed connection from it
 */
record HistoryEvent(double timeMs, Kind kind, String peer, String detail) {

  /** Kinds of events. */
  enum Kind {
    /** The client wrote the last byte of the request, or of the part that it sends. */
    SENT,
    /** The client read a complete response that belongs to the request. */
    ANSWERED,
    /** The client read a response that belongs to another request. */
    FOREIGN_RESPONSE,
    /** The connection ended before the first byte of a response, not closed by the client. */
    ENDED_UNANSWERED,
    /** The connection ended within a response, which the client can detect. */
    ENDED_WITHIN_RESPONSE,
    /** No complete response arrived before the client's read timed out. */
    NO_RESPONSE,
    /** The client closed the connection without waiting for a response. */
    CLIENT_LEFT,
    /** A backend received the complete request and executes it. */
    EXECUTED,
    /** A backend rejected the request without executing it. */
    NOT_EXECUTED;

    /** Returns whether the client waits for no response after this event. */
    boolean endsRequest() {
      return switch (this) {
        case SENT, EXECUTED, NOT_EXECUTED -> false;
        default -> true;
      };
    }
  }

  /** Returns whether the event is an attempt that reached a backend, executed or rejected. */
  boolean isAttempt() {
    return kind == Kind.EXECUTED || kind == Kind.NOT_EXECUTED;
  }

  @Override
  public String toString() {
    return String.format("%.1f ms %s %s %s", timeMs, kind, peer, detail);
  }
}
