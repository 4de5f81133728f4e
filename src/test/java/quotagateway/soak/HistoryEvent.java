package quotagateway.soak;

/**
 * What one stand-in saw of one request.
 *
 * @param timeMs since the start of the run
 * @param kind what it saw
 * @param peer who saw it, such as backend 2
 * @param detail the rest, for people and for rules that say so
 */
record HistoryEvent(double timeMs, Kind kind, String peer, String detail) {

  /** What can be seen of a request. */
  enum Kind {
    /** Its client has written its last byte. */
    SENT,
    /** Its client has read the last byte of a response that is its own. */
    ANSWERED,
    /** Its client has read a response that belongs to another request. */
    FOREIGN_RESPONSE,
    /** The connection ended before any byte of a response, for no cause of the client's. */
    ENDED_UNANSWERED,
    /** The connection ended within a response, so that its client can tell. */
    ENDED_WITHIN_RESPONSE,
    /** Nothing came in the time that the client waits and the slack of the rules. */
    NO_RESPONSE,
    /** Its client has closed the connection, and waits for nothing. */
    CLIENT_LEFT,
    /** A backend has its last byte, and executes it. */
    EXECUTED,
    /** A backend has rejected it, and has not executed it. */
    NOT_EXECUTED;

    /** Whether its client waits for nothing more. */
    boolean endsRequest() {
      return switch (this) {
        case SENT, EXECUTED, NOT_EXECUTED -> false;
        default -> true;
      };
    }
  }

  /** Whether an attempt reached a backend, which executed it or rejected it. */
  boolean isAttempt() {
    return kind == Kind.EXECUTED || kind == Kind.NOT_EXECUTED;
  }

  @Override
  public String toString() {
    return String.format("%.1f ms %s %s %s", timeMs, kind, peer, detail);
  }
}
