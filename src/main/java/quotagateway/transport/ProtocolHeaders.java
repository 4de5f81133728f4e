package quotagateway.transport;

import io.netty.util.AsciiString;

/** Names of the protocol-specific headers exchanged by clients, gateway and backends. */
public final class ProtocolHeaders {

  /** The request's identifier, unique even for a client's retry; forwarded unchanged. */
  public static final AsciiString REQUEST_ID = AsciiString.cached("Request-Id");

  /** The name of the request class in the settings. */
  public static final AsciiString REQUEST_CLASS = AsciiString.cached("Request-Class");

  /** The name of the customer's plan in the settings. */
  public static final AsciiString PLAN = AsciiString.cached("X-Plan");

  /** The customer's number as 16 hexadecimal digits. */
  public static final AsciiString CUSTOMER = AsciiString.cached("X-Customer");

  /** The time for which the sender waits for the response, in whole milliseconds. */
  public static final AsciiString TIMEOUT_MS = AsciiString.cached("Request-Timeout-Ms");

  /** The key that makes a request idempotent; forwarded unchanged. */
  public static final AsciiString IDEMPOTENCY_KEY = AsciiString.cached("Idempotency-Key");

  /** The units that a request takes from the quota, and the gateways that serve the customer. */
  public static final AsciiString QUOTA = AsciiString.cached("X-Quota");

  /** In a backend's response: 1 if the request was not executed. */
  public static final AsciiString NOT_STARTED = AsciiString.cached("Not-Started");

  /** In a backend's response: the units actually charged for the request. */
  public static final AsciiString UNITS_CHARGED = AsciiString.cached("X-Units-Charged");

  private ProtocolHeaders() {}
}
