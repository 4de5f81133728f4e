package quotagateway.testing;

/** Messages of discovery in their wire form. */
public final class EndpointListJson {

  private EndpointListJson() {}

  /** One endpoint on loopback. */
  public static String entry(String id, int port, String state) {
    return "{\"id\":\""
        + id
        + "\",\"addr\":\"127.0.0.1:"
        + port
        + "\",\"zone\":\"a\",\"kind\":\"k\","
        + "\"cell\":0,\"state\":\""
        + state
        + "\",\"weight\":1.0,\"started_ms\":0}";
  }

  /** A message; full is whether it is a snapshot. */
  public static String list(int version, boolean full, String... entries) {
    return "{\"version\":"
        + version
        + ",\"full\":"
        + full
        + ",\"servers\":["
        + String.join(",", entries)
        + "]}";
  }
}
