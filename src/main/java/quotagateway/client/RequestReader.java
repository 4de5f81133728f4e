package quotagateway.client;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Map;
import java.util.Set;
import quotagateway.policy.event.RequestReceived;
import quotagateway.policy.settings.Capabilities;
import quotagateway.policy.settings.Idempotency;
import quotagateway.policy.settings.PolicySettings;
import quotagateway.policy.settings.RequestClass;
import quotagateway.transport.ProtocolHeaders;

/**
 * Validates a client's HTTP message against one version of the settings and converts it into a
 * request; immutable. A message that is not a valid request of the protocol is rejected with the
 * reason.
 */
public final class RequestReader {

  private static final int MAX_ID_CHARS = 128;
  private static final int MAX_HOST_CHARS = 255;

  /** Exclusive upper bound of customer numbers, given by the protocol. */
  private static final long CUSTOMER_LIMIT = 1L << 33;

  /** Number of digits of the longest number in a header, a customer in hexadecimal. */
  private static final int MAX_DIGITS = 16;

  private static final int DECIMAL = 10;
  private static final int HEXADECIMAL = 16;

  /** Exclusive upper bound of ASCII. Java also accepts digits of other scripts. */
  private static final int ASCII_LIMIT = 128;

  private static final String HTTP_SCHEME = "http://";

  private final Map<String, RequestClass> requestClasses = new HashMap<>();
  private final Set<String> planNames = new HashSet<>();
  private final int gatewayCount;
  private final double maxUnits;
  private final Capabilities capabilities;

  /** Creates a reader that applies these settings. */
  public RequestReader(PolicySettings settings) {
    settings.requestClasses().forEach(c -> requestClasses.put(c.name(), c));
    settings.plans().forEach(plan -> planNames.add(plan.name()));
    capabilities = settings.capabilities();
    gatewayCount = settings.gatewayCount();
    maxUnits =
        settings.maxRequestUnits() > 0 ? settings.maxRequestUnits() : Double.POSITIVE_INFINITY;
  }

  /**
   * Reads a request and derives its deadline from the timeout that the client states.
   *
   * @param arrivedAtMs when the request arrived; its timeout counts from then
   * @throws InvalidRequestException with the first reason for which the message is not a valid
   *     request
   */
  RequestReceived read(HttpRequest message, double arrivedAtMs) throws InvalidRequestException {
    HttpHeaders headers = message.headers();
    if (headers.contains(HttpHeaderNames.HOST)
        && requiredHeader(headers, HttpHeaderNames.HOST).length() > MAX_HOST_CHARS) {
      throw new InvalidRequestException("Host is too long");
    }
    String id = requiredHeader(headers, ProtocolHeaders.REQUEST_ID);
    if (id.length() > MAX_ID_CHARS) {
      throw new InvalidRequestException("Request-Id is too long");
    }
    RequestClass requestClass = readRequestClass(message);
    String planName = requiredHeader(headers, ProtocolHeaders.PLAN);
    if (!planNames.contains(planName)) {
      throw new InvalidRequestException("unknown plan");
    }
    double timeoutMs = parseNumber(headers, ProtocolHeaders.TIMEOUT_MS, DECIMAL);
    if (timeoutMs <= 0 || timeoutMs > Math.ceil(requestClass.deadlineMs())) {
      throw new InvalidRequestException("Request-Timeout-Ms is out of range");
    }
    long customer = parseNumber(headers, ProtocolHeaders.CUSTOMER, HEXADECIMAL);
    if (customer >= CUSTOMER_LIMIT) {
      throw new InvalidRequestException("X-Customer is out of range");
    }
    QuotaHeader quota = parseQuota(requiredHeader(headers, ProtocolHeaders.QUOTA));
    return new RequestReceived(
        id,
        requestClass,
        planName,
        customer,
        (int) quota.spread,
        quota.units,
        arrivedAtMs + timeoutMs,
        capabilities);
  }

  /**
   * Returns the class that the client names, after checking that path, method and idempotency key
   * fit.
   */
  private RequestClass readRequestClass(HttpRequest message) throws InvalidRequestException {
    HttpHeaders headers = message.headers();
    RequestClass requestClass =
        requestClasses.get(requiredHeader(headers, ProtocolHeaders.REQUEST_CLASS));
    if (requestClass == null
        || !requestClass.name().equals(firstPathSegment(path(message.uri())))) {
      throw new InvalidRequestException("unknown class");
    }
    boolean idempotent = requestClass.idempotency() == Idempotency.IDEMPOTENT;
    if (!message.method().equals(idempotent ? HttpMethod.GET : HttpMethod.POST)) {
      throw new InvalidRequestException("method does not fit the class");
    }
    if (requestClass.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY) {
      requiredHeader(headers, ProtocolHeaders.IDEMPOTENCY_KEY);
    }
    return requestClass;
  }

  /**
   * Values of the header {@code X-Quota}: the estimated units, and the number of gateways that
   * serve the customer.
   */
  private record QuotaHeader(long units, long spread) {}

  /**
   * Parses a value such as {@code units=2,spread=3,first=1}. Values out of range are rejected
   * rather than clamped: the request may carry a wrong customer number, and the account of the
   * customer with that number must not change because of it.
   */
  private QuotaHeader parseQuota(String headerValue) throws InvalidRequestException {
    long units = 0;
    long spread = 0;
    long first = -1;
    for (String part : headerValue.split(",", -1)) {
      int equalsIndex = part.indexOf('=');
      String name = equalsIndex < 0 ? "" : part.substring(0, equalsIndex).trim();
      long value =
          parseNumber(part.substring(equalsIndex + 1).trim(), DECIMAL, ProtocolHeaders.QUOTA);
      switch (name) {
        case "units" -> units = value;
        case "spread" -> spread = value;
        case "first" -> first = value;
        default -> throw new InvalidRequestException("X-Quota is broken");
      }
    }
    boolean unitsInRange = units > 0 && units <= maxUnits;
    boolean spreadInRange = spread > 0 && spread <= gatewayCount;
    boolean firstInRange = first >= 0 && first < gatewayCount;
    if (!unitsInRange || !spreadInRange || !firstInRange) {
      throw new InvalidRequestException("X-Quota is out of range");
    }
    return new QuotaHeader(units, spread);
  }

  /**
   * Returns the path and query of a request target, including one in absolute form. An absolute
   * target without a path is returned unchanged.
   */
  public static String path(String uri) {
    if (!uri.regionMatches(true, 0, HTTP_SCHEME, 0, HTTP_SCHEME.length())) {
      return uri;
    }
    int slash = uri.indexOf('/', HTTP_SCHEME.length());
    return slash < 0 ? uri : uri.substring(slash);
  }

  /** Returns the first segment of a path, or an empty string if the target is not a path. */
  private static String firstPathSegment(String uri) throws InvalidRequestException {
    for (int i = 0; i < uri.length(); i++) {
      if (uri.charAt(i) <= ' ' || uri.charAt(i) > '~') {
        throw new InvalidRequestException("path is not plain ASCII");
      }
    }
    int end = 1;
    while (end < uri.length() && "/?#".indexOf(uri.charAt(end)) < 0) {
      end++;
    }
    return uri.startsWith("/") ? uri.substring(1, end) : "";
  }

  /** Returns the value of a header that must be present exactly once. */
  private static String requiredHeader(HttpHeaders headers, CharSequence name)
      throws InvalidRequestException {
    Iterator<String> values = headers.valueStringIterator(name);
    String value = values.hasNext() ? values.next() : "";
    if (value.isEmpty()) {
      throw new InvalidRequestException(name + " is missing");
    }
    if (values.hasNext()) {
      throw new InvalidRequestException(name + " is repeated", false);
    }
    return value;
  }

  private static long parseNumber(HttpHeaders headers, CharSequence name, int radix)
      throws InvalidRequestException {
    return parseNumber(requiredHeader(headers, name), radix, name);
  }

  /** Parses a number without a sign. */
  private static long parseNumber(String text, int radix, CharSequence name)
      throws InvalidRequestException {
    try {
      long value = text.length() > MAX_DIGITS ? -1 : Long.parseLong(text, radix);
      if (value >= 0
          && Character.digit(text.charAt(0), radix) >= 0
          && text.charAt(0) < ASCII_LIMIT) {
        return value;
      }
    } catch (NumberFormatException e) {
      // Falls through to the common rejection below.
    }
    throw new InvalidRequestException(name + " is not a number");
  }
}
