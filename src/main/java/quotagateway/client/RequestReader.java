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
 * Reads a client's message as a request by one version of the settings; immutable. What is no
 * request of the protocol is rejected here, with its reason.
 */
public final class RequestReader {

  private static final int MAX_ID_CHARS = 128;
  private static final int MAX_HOST_CHARS = 255;

  /** Customers are numbered below this, by the protocol. */
  private static final long CUSTOMER_LIMIT = 1L << 33;

  /** Digits of the longest number in a header, that of a customer in hexadecimal. */
  private static final int MAX_DIGITS = 16;

  private static final int DECIMAL = 10;
  private static final int HEXADECIMAL = 16;

  /** Beyond ASCII there are further characters that Java takes for digits. */
  private static final int ASCII_LIMIT = 128;

  private static final String HTTP_SCHEME = "http://";

  private final Map<String, RequestClass> requestClasses = new HashMap<>();
  private final Set<String> planNames = new HashSet<>();
  private final int gatewayCount;
  private final double maxUnits;
  private final Capabilities capabilities;

  /** A reader of requests by these settings. */
  public RequestReader(PolicySettings settings) {
    settings.requestClasses().forEach(c -> requestClasses.put(c.name(), c));
    settings.plans().forEach(plan -> planNames.add(plan.name()));
    capabilities = settings.capabilities();
    gatewayCount = settings.gatewayCount();
    maxUnits =
        settings.maxRequestUnits() > 0 ? settings.maxRequestUnits() : Double.POSITIVE_INFINITY;
  }

  /**
   * Reads a request; its deadline follows from the time-out that the client states.
   *
   * @param arrivedAtMs from when that counts
   * @throws InvalidRequestException with the first reason for which this is no request
   */
  RequestReceived read(HttpRequest message, double arrivedAtMs) throws InvalidRequestException {
    HttpHeaders headers = message.headers();
    if (headers.contains(HttpHeaderNames.HOST)
        && text(headers, HttpHeaderNames.HOST).length() > MAX_HOST_CHARS) {
      throw new InvalidRequestException("Host is too long");
    }
    String id = text(headers, ProtocolHeaders.REQUEST_ID);
    if (id.length() > MAX_ID_CHARS) {
      throw new InvalidRequestException("Request-Id is too long");
    }
    RequestClass requestClass = requestClass(message);
    String planName = text(headers, ProtocolHeaders.PLAN);
    if (!planNames.contains(planName)) {
      throw new InvalidRequestException("unknown plan");
    }
    double timeoutMs = number(headers, ProtocolHeaders.TIMEOUT_MS, DECIMAL);
    if (timeoutMs <= 0 || timeoutMs > Math.ceil(requestClass.deadlineMs())) {
      throw new InvalidRequestException("Request-Timeout-Ms is out of range");
    }
    long customer = number(headers, ProtocolHeaders.CUSTOMER, HEXADECIMAL);
    if (customer >= CUSTOMER_LIMIT) {
      throw new InvalidRequestException("X-Customer is out of range");
    }
    QuotaField quota = quota(text(headers, ProtocolHeaders.QUOTA));
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

  /** The class that the client names, which path, method and idempotency key have to fit. */
  private RequestClass requestClass(HttpRequest message) throws InvalidRequestException {
    HttpHeaders headers = message.headers();
    RequestClass named = requestClasses.get(text(headers, ProtocolHeaders.REQUEST_CLASS));
    if (named == null || !named.name().equals(firstPart(path(message.uri())))) {
      throw new InvalidRequestException("unknown class");
    }
    boolean idempotent = named.idempotency() == Idempotency.IDEMPOTENT;
    if (!message.method().equals(idempotent ? HttpMethod.GET : HttpMethod.POST)) {
      throw new InvalidRequestException("method does not fit the class");
    }
    if (named.idempotency() == Idempotency.IDEMPOTENT_WITH_KEY) {
      text(headers, ProtocolHeaders.IDEMPOTENCY_KEY);
    }
    return named;
  }

  /** What the header {@code X-Quota} says: estimated units, and the gateways of the customer. */
  private record QuotaField(long units, long spread) {}

  /**
   * Reads a field like {@code units=2,spread=3,first=1}. What is out of range is rejected rather
   * than clipped: the request may bear another customer's name, and that customer's account must
   * not move by it.
   */
  private QuotaField quota(String field) throws InvalidRequestException {
    long units = 0;
    long spread = 0;
    long first = -1;
    for (String part : field.split(",", -1)) {
      int equals = part.indexOf('=');
      String name = equals < 0 ? "" : part.substring(0, equals).trim();
      long value = number(part.substring(equals + 1).trim(), DECIMAL, ProtocolHeaders.QUOTA);
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
    return new QuotaField(units, spread);
  }

  /** The path and query, also where the request names its target in absolute form. */
  public static String path(String uri) {
    if (!uri.regionMatches(true, 0, HTTP_SCHEME, 0, HTTP_SCHEME.length())) {
      return uri;
    }
    int slash = uri.indexOf('/', HTTP_SCHEME.length());
    return slash < 0 ? uri : uri.substring(slash);
  }

  /** The part of a path up to its first separator, or nothing where it is no path. */
  private static String firstPart(String uri) throws InvalidRequestException {
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

  /** The value of a header that has to be there once. */
  private static String text(HttpHeaders headers, CharSequence name)
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

  private static long number(HttpHeaders headers, CharSequence name, int radix)
      throws InvalidRequestException {
    return number(text(headers, name), radix, name);
  }

  /** A number without a sign. */
  private static long number(String text, int radix, CharSequence name)
      throws InvalidRequestException {
    try {
      long value = text.length() > MAX_DIGITS ? -1 : Long.parseLong(text, radix);
      if (value >= 0
          && Character.digit(text.charAt(0), radix) >= 0
          && text.charAt(0) < ASCII_LIMIT) {
        return value;
      }
    } catch (NumberFormatException e) {
      // Falls through to the one message for all that is no number.
    }
    throw new InvalidRequestException(name + " is not a number");
  }
}
