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

  /**
   * Most bytes of a body that the kernels of a client and of this machine hold for it, so that the
   * client may have written its last byte although no more is being read.
   */
  static final long MAX_KERNEL_BYTES = 8L << 20;

  /**
   * Share of its time after which a request may be rejected whose backend takes none of its body. A
   * client that is rejected in the first half of its time can still be served elsewhere.
   */
  private static final double MAX_BODY_STALL_SHARE = 0.4;

  /** Time before its deadline at which a request is rejected whose body still waits. */
  private static final double BODY_WAIT_MARGIN_MS = 250;

  /** A peer that accepts no bytes of a body or a response for this long is assumed to be gone. */
  static final double MAX_STALL_MS = 30_000;

  private RequestLimits() {}

  /**
   * Returns whether a body has stalled at its backend.
   *
   * @param timeoutMs the time for which the client waits for the response
   * @param pauseMs the time since the backend last took a part of the body
   */
  static boolean isBodyStalled(double timeoutMs, double pauseMs) {
    return pauseMs > MAX_BODY_STALL_SHARE * timeoutMs;
  }

  /**
   * Returns whether a body has waited for its backend for so long that no time is left.
   *
   * @param timeoutMs the time for which the client waits for the response
   * @param maxWaitMs the time for which the client may have been waiting since its last byte
   */
  static boolean isBodyTooLate(double timeoutMs, double maxWaitMs) {
    double minWaitMs = MAX_BODY_STALL_SHARE * timeoutMs;
    return maxWaitMs > Math.max(minWaitMs, timeoutMs - BODY_WAIT_MARGIN_MS);
  }

  /**
   * Returns how long the first {@code bodyBytes} bytes of a body may take to arrive, in
   * milliseconds.
   */
  static double maxBodyMs(long bodyBytes) {
    return BODY_GRACE_MS + bodyBytes / MIN_BODY_BYTES_PER_MS;
  }
}
