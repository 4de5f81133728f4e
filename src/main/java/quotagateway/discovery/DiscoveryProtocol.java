package quotagateway.discovery;

import quotagateway.endpoint.EndpointState;

/** The names that discovery uses on the wire, and what its states mean. */
final class DiscoveryProtocol {

  /** Fields of a message. */
  static final String VERSION = "version";

  static final String FULL = "full";
  static final String SERVERS = "servers";

  /** Fields of an entry of a message's list. */
  static final String ID = "id";

  static final String ADDRESS = "addr";
  static final String ZONE = "zone";
  static final String CELL = "cell";
  static final String STATE = "state";
  static final String WEIGHT = "weight";
  static final String STARTED_MS = "started_ms";

  private DiscoveryProtocol() {}

  /** The request target of a watch that begins with what changed after a version. */
  static String watchTarget(long version) {
    return "/discovery/hosts?stream=1&index=" + version;
  }

  /**
   * Reads an endpoint's state. {@code leaving} means draining, and so does any state that is not
   * known: such an endpoint must get no new requests.
   */
  static EndpointState endpointState(String state) {
    return switch (state) {
      case "active" -> EndpointState.SERVING;
      case "left" -> EndpointState.REMOVED;
      default -> EndpointState.DRAINING;
    };
  }
}
