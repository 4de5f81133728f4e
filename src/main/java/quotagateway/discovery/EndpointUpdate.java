package quotagateway.discovery;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import quotagateway.config.JsonFields;
import quotagateway.endpoint.Endpoint;
import quotagateway.endpoint.EndpointListForm;

/**
 * One message of discovery, or a fragment of one.
 *
 * @param version the list's version after this message; {@link #NO_VERSION} if it is unknown
 * @param form whether the endpoints are a snapshot, a delta or a fragment of a longer list
 * @param endpoints the endpoints that the message names
 */
public record EndpointUpdate(long version, EndpointListForm form, List<Endpoint> endpoints) {

  /** Denotes an unknown version. */
  static final long NO_VERSION = 0;

  /**
   * Creates a complete message.
   *
   * @param snapshot whether the message names all endpoints, rather than only the changed ones
   */
  public EndpointUpdate(long version, boolean snapshot, List<Endpoint> endpoints) {
    this(version, snapshot ? EndpointListForm.SNAPSHOT : EndpointListForm.DELTA, endpoints);
  }

  /** Returns whether the update is a snapshot or the last fragment of one. */
  public boolean isSnapshot() {
    return form == EndpointListForm.SNAPSHOT;
  }

  /**
   * Converts the endpoint list of a configuration, which has the same form as a message of
   * discovery.
   */
  public static EndpointUpdate fromConfiguration(Map<String, Object> message) {
    List<Endpoint> endpoints = new ArrayList<>();
    for (Map<String, Object> fields : JsonFields.children(message, DiscoveryProtocol.SERVERS)) {
      Endpoint endpoint = endpoint(fields);
      if (endpoint != null) {
        endpoints.add(endpoint);
      }
    }
    return new EndpointUpdate(
        (long) JsonFields.number(message, DiscoveryProtocol.VERSION),
        JsonFields.flag(message, DiscoveryProtocol.FULL),
        endpoints);
  }

  private static Endpoint endpoint(Map<String, Object> fields) {
    EndpointBuilder builder = new EndpointBuilder();
    fields.forEach(
        (name, value) -> {
          if (value instanceof String text) {
            builder.setText(name, text);
          } else if (value instanceof Number number) {
            builder.setNumber(name, number.doubleValue());
          }
        });
    return builder.build();
  }
}
