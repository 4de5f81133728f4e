package quotagateway.policy;

/**
 * Names an attempt in the events of the gateway. The methods are written out, as those that a
 * record has by itself are generated at run time, which slows the start.
 *
 * @param requestId unique among the open requests of this gateway
 * @param number of the attempt, from 0
 */
record AttemptKey(String requestId, int number) {

  @Override
  public boolean equals(Object other) {
    return other instanceof AttemptKey key
        && number == key.number
        && requestId.equals(key.requestId);
  }

  @Override
  public int hashCode() {
    return 31 * requestId.hashCode() + number;
  }
}
