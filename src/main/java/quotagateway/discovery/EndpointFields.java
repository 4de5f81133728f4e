package quotagateway.discovery;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import quotagateway.endpoint.Endpoint;
import quotagateway.endpoint.EndpointState;
import quotagateway.transport.BackendAddress;
import quotagateway.transport.SocketAddresses;

/**
 * The fields of one entry of a list as they are read; what is missing or of another kind is as
 * usual.
 */
final class EndpointFields {

  private String id = "";
  private String address = "";
  private String zone = "";
  private String state = "";
  private double cell;
  private double weight = 1;
  private double startedMs;

  /** Takes the value of a field that the parser is at. */
  void take(String field, JsonToken token, JsonParser parser) throws IOException {
    if (token == JsonToken.VALUE_STRING) {
      text(field, parser.getText());
    } else if (token.isNumeric()) {
      number(field, parser.getDoubleValue());
    }
  }

  void text(String field, String value) {
    switch (field) {
      case "id" -> id = value;
      case "addr" -> address = value;
      case "zone" -> zone = value;
      case "state" -> state = value;
      default -> {}
    }
  }

  void number(String field, double value) {
    switch (field) {
      case "cell" -> cell = value;
      case "weight" -> weight = value;
      case "started_ms" -> startedMs = value;
      default -> {}
    }
  }

  /** The entry, or null where it cannot be used. */
  Endpoint read() {
    EndpointState phase =
        switch (state) {
          case "active" -> EndpointState.SERVING;
          case "left" -> EndpointState.REMOVED;
          default -> EndpointState.DRAINING;
        };
    long place = BackendAddress.encode(SocketAddresses.parse(address));
    if (id.isEmpty() || place == Endpoint.NO_ADDRESS && phase == EndpointState.SERVING) {
      return null;
    }
    return new Endpoint(hash(id), zone, (int) cell, phase, weight, startedMs, place);
  }

  /**
   * A backend's name as the number that the module knows it by: FNV-1a, alike at every front door.
   */
  private static long hash(String name) {
    long hash = 0xcbf29ce484222325L;
    for (byte b : name.getBytes(StandardCharsets.UTF_8)) {
      hash = (hash ^ b & 0xff) * 0x100000001b3L;
    }
    return hash >>> 1;
  }
}
