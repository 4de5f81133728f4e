package quotagateway.soak;

/** The classes of requests that clients send, as the protocol has them. */
enum RequestKind {
  /** May be executed any number of times. */
  IDEMPOTENT("quote", "pure"),
  /** May be sent again with its key. */
  IDEMPOTENT_WITH_KEY("buy", "token"),
  /** Must be executed once at most. */
  NOT_IDEMPOTENT("pay", "side_effect");

  private final String className;
  private final String repeat;

  RequestKind(String className, String repeat) {
    this.className = className;
    this.repeat = repeat;
  }

  /** The class's name in the settings, and the first part of its path. */
  String className() {
    return className;
  }

  /** How the settings say whether it may be repeated. */
  String repeat() {
    return repeat;
  }

  /** A request of the class in its wire form. */
  String request(String id, String customerHeaders, int timeoutMs, String body) {
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
