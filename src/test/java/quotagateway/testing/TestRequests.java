package quotagateway.testing;

/** Builds requests of one customer in their wire format. */
public final class TestRequests {

  private TestRequests() {}

  /** Returns an idempotent request without a body. */
  public static String get(String id, int timeoutMs) {
    return "GET /quote/17?a=%20b&c HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: "
        + id
        + "\r\nRequest-Class: quote\r\nX-Plan: basic\r\nX-Customer: 00000000b4d65521\r\nRequest-Timeout-Ms: "
        + timeoutMs
        + "\r\nX-Quota: units=2,spread=2,first=1\r\n\r\n";
  }

  /** Returns a request with an idempotency key, a body and a timeout of 3 s. */
  public static String post(String id, String body) {
    return "POST /buy/9 HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: "
        + id
        + "\r\nRequest-Class: buy\r\nX-Plan: basic\r\nX-Customer: 00000000b4d65521"
        + "\r\nRequest-Timeout-Ms: 3000\r\nIdempotency-Key: key-"
        + id
        + "\r\nContent-Length: "
        + body.length()
        + "\r\nX-Quota: units=2,spread=2,first=1\r\n\r\n"
        + body;
  }
}
