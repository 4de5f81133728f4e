package quotagateway.client;

/**
 * Limits on the size of clients' requests and on the time to send them. A client that exceeds a
 * limit gets an error, or its connection is closed, because each open connection may keep another
 * client out.
 */
final class RequestLimits {

  /** The largest body that is forwarded; a client that announces or sends more gets a 413. */
  static final long MAX_BODY_BYTES = 32L << 20;

  /** Maximum number of requests queued after the open one; requests beyond it get no response. */
  static final int MAX_PIPELINED_REQUESTS = 16;

  /**
   * Time limit for the head of a request, counted from the opening of the connection for the first
   * request and from the first byte for later ones. Misbehaving clients must get an error or a
   * close within 3 s. Bytes that trickle in do not extend the limit.
   */
  static final double MAX_HEAD_MS = 2_200;

  /** Time for a body in addition to the time that {@link #MIN_BODY_BYTES_PER_MS} allows. */
  private static final double BODY_GRACE_MS = 700;

  /**
   * Minimum rate of a body. Clients may send as slowly as 64 kB/s; the limit is slightly lower so
   * that they are not timed out.
   */
  private static final double MIN_BODY_BYTES_PER_MS = 60;

  /** A peer that accepts no bytes of a body or a response for this long is assumed to be gone. */
  static final double MAX_STALL_MS = 30_000;

  private RequestLimits() {}

  /**
   * Returns how long the first {@code bodyBytes} bytes of a body may take to arrive, in
   * milliseconds.
   */
  static double maxBodyMs(long bodyBytes) {
    return BODY_GRACE_MS + bodyBytes / MIN_BODY_BYTES_PER_MS;
  }
}
