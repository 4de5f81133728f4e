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
 * Collects the fields of one list entry while the entry is read. A field that is missing or of the
 * wrong type keeps its default.
 */
final class EndpointBuilder {

  private static final double DEFAULT_WEIGHT = 1;
  private static final long FNV_1A_OFFSET_BASIS = 0xcbf29ce484222325L;
  private static final long FNV_1A_PRIME = 0x100000001b3L;

  private String id = "";
  private String address = "";
  private String zone = "";
  private String state = "";
  private double cell;
  private double weight = DEFAULT_WEIGHT;
  private double startedMs;

  /** Sets a field to the value at the parser's current token. */
  void set(String field, JsonToken token, JsonParser parser) throws IOException {
    if (token == JsonToken.VALUE_STRING) {
      setText(field, parser.getText());
    } else if (token.isNumeric()) {
      setNumber(field, parser.getDoubleValue());
    }
  }

  void setText(String field, String value) {
    switch (field) {
      case DiscoveryProtocol.ID -> id = value;
      case DiscoveryProtocol.ADDRESS -> address = value;
      case DiscoveryProtocol.ZONE -> zone = value;
      case DiscoveryProtocol.STATE -> state = value;
      default -> {}
    }
  }

  void setNumber(String field, double value) {
    switch (field) {
      case DiscoveryProtocol.CELL -> cell = value;
      case DiscoveryProtocol.WEIGHT -> weight = value;
      case DiscoveryProtocol.STARTED_MS -> startedMs = value;
      default -> {}
    }
  }

  /**
   * Builds the endpoint.
   *
   * @return null if the endpoint is unusable: it has no id, or it is serving but has no IPv4
   *     address
   */
  Endpoint build() {
    EndpointState endpointState = DiscoveryProtocol.endpointState(state);
    long encodedAddress = BackendAddress.encode(SocketAddresses.parse(address));
    boolean unreachable =
        encodedAddress == Endpoint.NO_ADDRESS && endpointState == EndpointState.SERVING;
    if (id.isEmpty() || unreachable) {
      return null;
    }
    return new Endpoint(
        hash(id), zone, (int) cell, endpointState, weight, startedMs, encodedAddress);
  }

  /**
   * Hashes an endpoint's id to the number that the policy identifies the endpoint by: FNV-1a
   * without the lowest bit. The hash is the same at every gateway and never negative.
   */
  private static long hash(String id) {
    long hash = FNV_1A_OFFSET_BASIS;
    for (byte b : id.getBytes(StandardCharsets.UTF_8)) {
      hash = (hash ^ (b & 0xff)) * FNV_1A_PRIME;
    }
    return hash >>> 1;
  }
}
