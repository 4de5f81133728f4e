package quotagateway.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import quotagateway.policy.event.RequestReceived;
import quotagateway.policy.settings.Capabilities;
import quotagateway.policy.settings.DeduplicationScope;
import quotagateway.policy.settings.Idempotency;
import quotagateway.policy.settings.Plan;
import quotagateway.policy.settings.PolicySettings;
import quotagateway.policy.settings.RequestClass;
import quotagateway.policy.settings.ServiceRules;

/** Tests which messages are read as requests, and the reasons for which others are rejected. */
class RequestReaderTest {

  private static final double ARRIVED_AT_MS = 1_000;

  private final RequestReader reader = new RequestReader(settings());

  private static PolicySettings settings() {
    return new PolicySettings(
        2,
        0,
        "a",
        8,
        0,
        false,
        List.of(
            requestClass("quote", Idempotency.IDEMPOTENT),
            requestClass("buy", Idempotency.IDEMPOTENT_WITH_KEY)),
        List.of(new Plan("basic", 400, 800, 0, 1, 0, 0, 0, 0, 0)),
        new Capabilities(true, 50, true, false, 3, 1_000, true, 1_000, false),
        new ServiceRules(50, 1, 0, 1, 1));
  }

  private static RequestClass requestClass(String name, Idempotency idempotency) {
    return new RequestClass(
        name, 1, 0, 1_500, 4_000, idempotency, DeduplicationScope.ALL, 10_000, false);
  }

  private static HttpRequest get() {
    HttpRequest request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/quote/17");
    request
        .headers()
        .set("Host", "backend.local")
        .set("Request-Id", "r1")
        .set("Request-Class", "quote")
        .set("X-Plan", "basic")
        .set("X-Customer", "00000000b4d65521")
        .set("Request-Timeout-Ms", "3000")
        .set("X-Quota", "units=2,spread=2,first=1");
    return request;
  }

  private InvalidRequestException rejection(HttpRequest request) {
    return assertThrows(InvalidRequestException.class, () -> reader.read(request, ARRIVED_AT_MS));
  }

  @Test
  void computesDeadlineFromArrivalTimeAndTimeout() throws Exception {
    RequestReceived request = reader.read(get(), ARRIVED_AT_MS);
    assertEquals("r1", request.requestId());
    assertEquals("quote", request.requestClass().name());
    assertEquals("basic", request.planName());
    assertEquals(0xb4d65521L, request.customer());
    assertEquals(2, request.gatewaysOfCustomer());
    assertEquals(2, request.units());
    assertEquals(ARRIVED_AT_MS + 3_000, request.deadlineAtMs());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "X-Plan|gold|unknown plan",
        "Request-Class|other|unknown class",
        "Request-Class|buy|unknown class",
        "Request-Timeout-Ms|0|Request-Timeout-Ms is out of range",
        "Request-Timeout-Ms|4001|Request-Timeout-Ms is out of range",
        "Request-Timeout-Ms|+5|Request-Timeout-Ms is not a number",
        "X-Customer|0000000200000000|X-Customer is out of range",
        "X-Customer|customer|X-Customer is not a number",
        "X-Quota|units=9,spread=2,first=1|X-Quota is out of range",
        "X-Quota|units=2,spread=2,first=2|X-Quota is out of range",
        "X-Quota|units=2,spread=2|X-Quota is out of range",
        "X-Quota|units=2,other=2|X-Quota is broken"
      })
  void rejectsInvalidHeaderWithStatusAndReason(String header, String value, String reason) {
    HttpRequest request = get();
    request.headers().set(header, value);
    InvalidRequestException rejection = rejection(request);
    assertEquals(HttpResponseStatus.BAD_REQUEST, rejection.status());
    assertEquals(reason, rejection.getMessage());
    assertTrue(rejection.isConnectionReusable());
  }

  /**
   * Two parsers may use different values of a repeated header, so the bytes that follow on the
   * connection cannot be trusted either.
   */
  @Test
  void doesNotReuseConnectionAfterRepeatedHeader() {
    HttpRequest request = get();
    request.headers().add("Request-Id", "r2");
    InvalidRequestException rejection = rejection(request);
    assertEquals("Request-Id is repeated", rejection.getMessage());
    assertFalse(rejection.isConnectionReusable());
  }

  @Test
  void requiresMethodAndIdempotencyKeyOfTheRequestClass() throws Exception {
    HttpRequest wrongMethod = get().setMethod(HttpMethod.POST);
    assertEquals("method does not fit the class", rejection(wrongMethod).getMessage());
    HttpRequest post = get().setMethod(HttpMethod.POST).setUri("/buy/9");
    post.headers().set("Request-Class", "buy");
    assertEquals("Idempotency-Key is missing", rejection(post).getMessage());
    post.headers().set("Idempotency-Key", "k1");
    assertEquals("buy", reader.read(post, ARRIVED_AT_MS).requestClass().name());
  }

  @ParameterizedTest
  @CsvSource({
    "/quote/1?a=b,/quote/1?a=b",
    "http://backend.local/quote/1,/quote/1",
    "HTTP://backend.local:80/quote/1,/quote/1",
    "http://backend.local,http://backend.local"
  })
  void extractsPathFromOriginAndAbsoluteForm(String uri, String path) {
    assertEquals(path, RequestReader.path(uri));
  }
}
