package quotagateway.client;

/**
 * How much a client may send, and how long it may take for it. Whatever a request exceeds, its
 * client gets an error or a close; each open connection is one that another client cannot have.
 */
final class RequestLimits {

  /** The largest body that is forwarded; a client that announces or sends more gets 413. */
  static final long MAX_BODY_BYTES = 32L << 20;

  /** Requests kept behind the open one; a client that sends more gets no responses beyond them. */
  static final int MAX_PIPELINED_REQUESTS = 16;

  /**
   * Time for a request's head, from the connecting of its client, or for a later request from its
   * first byte. Misbehaving clients are owed an error or a close within 3 s. A trickle does not
   * extend it.
   */
  static final double MAX_HEAD_MS = 2_200;

  /** Time for a body beside what {@link #MIN_BODY_BYTES_PER_MS} gives it. */
  private static final double BODY_GRACE_MS = 700;

  /** A body may come as slowly as 64 kB a second; a little less, so that such a one is in time. */
  private static final double MIN_BODY_BYTES_PER_MS = 60;

  /** A peer that takes nothing of a body or of a response for so long is not there any more. */
  static final double MAX_STALL_MS = 30_000;

  private RequestLimits() {}

  /** How long the first bytes of a body may take to come, in milliseconds. */
  static double maxBodyMs(long bodyBytes) {
    return BODY_GRACE_MS + bodyBytes / MIN_BODY_BYTES_PER_MS;
  }
}
