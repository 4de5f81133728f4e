package quotagateway.policy;

/**
 * Identifies an attempt by its request and its number. {@code equals} and {@code hashCode} are
 * written out because a record's default implementations are generated at run time, which slows
 * startup.
 *
 * @param requestId ID of the request, unique among the open requests of this gateway
 * @param number number of the attempt within its request, from 0
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
