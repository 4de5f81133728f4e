package quotagateway.discovery;

import quotagateway.endpoint.EndpointState;

/** Names used in the discovery protocol, and the mapping of its endpoint states. */
final class DiscoveryProtocol {

  // Fields of a message
  static final String VERSION = "version";
  static final String FULL = "full";
  static final String SERVERS = "servers";

  // Fields of a list entry
  static final String ID = "id";
  static final String ADDRESS = "addr";
  static final String ZONE = "zone";
  static final String CELL = "cell";
  static final String STATE = "state";
  static final String WEIGHT = "weight";
  static final String STARTED_MS = "started_ms";

  private DiscoveryProtocol() {}

  /** Returns the request target of a watch for the changes after a version. */
  static String watchTarget(long version) {
    return "/discovery/hosts?stream=1&index=" + version;
  }

  /**
   * Parses an endpoint state. Both {@code leaving} and unknown states map to draining, since an
   * endpoint in an unknown state must not receive new requests.
   */
  static EndpointState endpointState(String state) {
    return switch (state) {
      case "active" -> EndpointState.SERVING;
      case "left" -> EndpointState.REMOVED;
      default -> EndpointState.DRAINING;
    };
  }
}
