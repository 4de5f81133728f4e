package quotagateway.soak;

/** The request classes that clients use. */
enum RequestKind {
  /** Requests that may be executed any number of times. */
  IDEMPOTENT("quote", "pure"),
  /** Requests that may be retried with the same idempotency key. */
  IDEMPOTENT_WITH_KEY("buy", "token"),
  /** Requests that must be executed at most once. */
  NOT_IDEMPOTENT("pay", "side_effect");

  private final String className;
  private final String repeat;

  RequestKind(String className, String repeat) {
    this.className = className;
    this.repeat = repeat;
  }

  /** Returns the name of the class in the settings, which is also the first segment of its path. */
  String className() {
    return className;
  }

  /** Returns the value of {@code Repeat} for the class in the settings. */
  String repeat() {
    return repeat;
  }

  /** Returns a request of this class in wire format. */
  String formatRequest(String id, String customerHeaders, int timeoutMs, String body) {
    StringBuilder text = new StringBuilder();
    text.append(this == IDEMPOTENT ? "GET /" : "POST /")
        .append(className)
        .append("/1 HTTP/1.1\r\n");
    text.append("Host: backend.local\r\nRequest-Id: ").append(id);
    text.append("\r\nRequest-Class: ").append(className);
    text.append("\r\nRequest-Timeout-Ms: ").append(timeoutMs).append("\r\n");
    text.append(customerHeaders);
    if (this == IDEMPOTENT_WITH_KEY) {
      text.append("Idempotency-Key: key-").append(id).append("\r\n");
    }
    if (this == IDEMPOTENT) {
      return text.append("\r\n").toString();
    }
    text.append("Content-Length: ").append(body.length()).append("\r\n\r\n").append(body);
    return text.toString();
  }
}
