package quotagateway.discovery;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import quotagateway.config.JsonFields;
import quotagateway.endpoint.Endpoint;
import quotagateway.endpoint.EndpointListForm;

/** One message of discovery, or a piece of one; the version is 0 where it is not told. */
public record EndpointUpdate(long version, EndpointListForm form, List<Endpoint> endpoints) {

  public EndpointUpdate(long version, boolean isSnapshot, List<Endpoint> endpoints) {
    this(version, isSnapshot ? EndpointListForm.SNAPSHOT : EndpointListForm.DELTA, endpoints);
  }

  /** Whether it is the whole list, or the end of one. */
  public boolean isSnapshot() {
    return form == EndpointListForm.SNAPSHOT;
  }

  /** The list of a configuration. */
  public static EndpointUpdate of(Map<String, Object> message) {
    List<Endpoint> entries = new ArrayList<>();
    for (Map<String, Object> fields : JsonFields.children(message, "servers")) {
      EndpointFields entry = new EndpointFields();
      fields.forEach(
          (name, value) -> {
            if (value instanceof String text) {
              entry.text(name, text);
            } else if (value instanceof Number number) {
              entry.number(name, number.doubleValue());
            }
          });
      Endpoint read = entry.read();
      if (read != null) {
        entries.add(read);
      }
    }
    return new EndpointUpdate(
        (long) JsonFields.number(message, "version"),
        Boolean.TRUE.equals(message.get("full")),
        entries);
  }
}
