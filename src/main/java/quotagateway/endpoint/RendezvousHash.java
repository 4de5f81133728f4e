package quotagateway.endpoint;

/**
 * Rendezvous hashing: each gateway ranks all endpoints in its own order, which is the same after
 * each restart. Subsets of the first few endpoints of each order are spread over all endpoints, and
 * adding or removing an endpoint changes at most one member of a subset.
 */
final class RendezvousHash {

  private RendezvousHash() {}

  /** Returns an endpoint's rank for a gateway; lower ranks come first. */
  static long rank(long endpointId, long gatewayIndex) {
    return mix(endpointId + (gatewayIndex << 32));
  }

  /** Applies the SplitMix64 finalizer, which distributes consecutive numbers evenly. */
  private static long mix(long number) {
    long z = (number ^ (number >>> 30)) * 0xBF58476D1CE4E5B9L;
    z = (z ^ (z >>> 27)) * 0x94D049BB133111EBL;
    return z ^ (z >>> 31);
  }
}
