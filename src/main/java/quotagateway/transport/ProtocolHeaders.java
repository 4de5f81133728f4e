package quotagateway.transport;

import io.netty.util.AsciiString;

/** The names of the protocol's own headers, between clients, gateway and backends. */
public final class ProtocolHeaders {

  /** Names a request; fresh for each, a client's retry included; forwarded unchanged. */
  public static final AsciiString REQUEST_ID = AsciiString.cached("Request-Id");

  /** A request's class, by its name in the settings. */
  public static final AsciiString REQUEST_CLASS = AsciiString.cached("Request-Class");

  /** The customer's plan, by its name in the settings. */
  public static final AsciiString PLAN = AsciiString.cached("X-Plan");

  /** The customer, in 16 hexadecimal digits. */
  public static final AsciiString CUSTOMER = AsciiString.cached("X-Customer");

  /** How long the sender will wait for the response, in whole milliseconds. */
  public static final AsciiString TIMEOUT_MS = AsciiString.cached("Request-Timeout-Ms");

  /** The key of a request that is idempotent by it; forwarded unchanged. */
  public static final AsciiString IDEMPOTENCY_KEY = AsciiString.cached("Idempotency-Key");

  /** The units that a request takes from its quota, and the gateways that serve its customer. */
  public static final AsciiString QUOTA = AsciiString.cached("X-Quota");

  /** In a backend's response: 1 where the request was not executed. */
  public static final AsciiString NOT_STARTED = AsciiString.cached("Not-Started");

  /** In a backend's response: the units that the request cost in fact. */
  public static final AsciiString UNITS_CHARGED = AsciiString.cached("X-Units-Charged");

  private ProtocolHeaders() {}
}
