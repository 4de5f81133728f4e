package quotagateway.endpoint;

/**
 * The entry of one backend in the endpoint list.
 *
 * @param id the backend's identifier, which is the same at every gateway
 * @param zone the zone that the backend runs in
 * @param cell the number of the cell within the zone
 * @param state whether the backend accepts requests
 * @param weight the capacity relative to other backends
 * @param startedMs the start time, in Unix milliseconds; 0 if it was long ago
 * @param address the address that the backend listens on, encoded as a number that only the network
 *     code interprets; {@link #NO_ADDRESS} if none is listed
 */
public record Endpoint(
    long id,
    String zone,
    int cell,
    EndpointState state,
    double weight,
    double startedMs,
    long address) {

  /** Denotes an unknown address. */
  public static final long NO_ADDRESS = 0;

  /** Creates an endpoint without a listed address. */
  public Endpoint(
      long id, String zone, int cell, EndpointState state, double weight, double startedMs) {
    this(id, zone, cell, state, weight, startedMs, NO_ADDRESS);
  }
}
