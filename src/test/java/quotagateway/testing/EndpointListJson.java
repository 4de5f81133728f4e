package quotagateway.testing;

/** Builds discovery messages in their JSON wire format. */
public final class EndpointListJson {

  private EndpointListJson() {}

  /** Returns the JSON entry of an endpoint on loopback. */
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

  /** Returns a message: a snapshot if {@code full}, otherwise a delta. */
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
