package quotagateway.endpoint;

/**
 * Rendezvous hashing: each gateway has an order of its own of all endpoints, the same at every
 * start. Gateways that use the first few of their orders spread over all endpoints, and an endpoint
 * that comes or goes changes one member of such a subset at most.
 */
final class RendezvousHash {

  private RendezvousHash() {}

  /** An endpoint's rank in the order of one gateway; lower comes first. */
  static long rank(long endpointId, long gateway) {
    return mix(endpointId + (gateway << 32));
  }

  /** The finaliser of SplitMix64, which spreads neighbouring numbers evenly. */
  private static long mix(long number) {
    long z = (number ^ (number >>> 30)) * 0xBF58476D1CE4E5B9L;
    z = (z ^ (z >>> 27)) * 0x94D049BB133111EBL;
    return z ^ (z >>> 31);
  }
}
