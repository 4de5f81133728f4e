package quotagateway.transport;

import io.netty.util.AsciiString;

/** The protocol's own header names. */
public final class ProtocolHeaders {

  public static final AsciiString REQUEST_ID = AsciiString.cached("Request-Id");
  public static final AsciiString REQUEST_CLASS = AsciiString.cached("Request-Class");
  public static final AsciiString PLAN = AsciiString.cached("X-Plan");
  public static final AsciiString CUSTOMER = AsciiString.cached("X-Customer");
  public static final AsciiString TIMEOUT_MS = AsciiString.cached("Request-Timeout-Ms");
  public static final AsciiString IDEMPOTENCY_KEY = AsciiString.cached("Idempotency-Key");
  public static final AsciiString QUOTA = AsciiString.cached("X-Quota");
  public static final AsciiString NOT_STARTED = AsciiString.cached("Not-Started");
  public static final AsciiString UNITS_CHARGED = AsciiString.cached("X-Units-Charged");

  private ProtocolHeaders() {}
}
