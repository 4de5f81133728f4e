package quotagateway.endpoint;

/**
 * One backend as discovery lists it.
 *
 * @param id its number, alike at every gateway
 * @param zone where it runs
 * @param cell its part of the zone
 * @param state whether it takes requests
 * @param weight its capacity relative to others
 * @param startedMs when it started, in Unix milliseconds; 0 for long ago
 * @param address where it listens, as a number that only the network code reads; {@link
 *     #NO_ADDRESS} where none is listed
 */
public record Endpoint(
    long id,
    String zone,
    int cell,
    EndpointState state,
    double weight,
    double startedMs,
    long address) {

  /** Stands for an address that is not known. */
  public static final long NO_ADDRESS = 0;

  /** An endpoint without a listed address. */
  public Endpoint(
      long id, String zone, int cell, EndpointState state, double weight, double startedMs) {
    this(id, zone, cell, state, weight, startedMs, NO_ADDRESS);
  }
}
