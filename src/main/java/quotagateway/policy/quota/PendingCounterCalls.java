package quotagateway.policy.quota;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Queue;
import quotagateway.policy.action.IncrementCounter;
import quotagateway.policy.context.DecisionContext;

/**
 * The calls to the shared counter that wait for their replies. Replies for one counter name come in
 * the order of its calls.
 */
final class PendingCounterCalls {

  /** After which the counter forgets a name: longer than the longest window of a bucket. */
  static final double COUNT_TTL_MS = 60_000;

  /** One call to the counter. */
  sealed interface Call {
    /** The customer that it is for. */
    CustomerAccount account();
  }

  /**
   * Adds units to the count of a window, or reads it.
   *
   * @param account the customer
   * @param reservation the request that waits for the reply
   * @param window the window of the count
   * @param units what it adds
   */
  record UnitsCall(CustomerAccount account, QuotaReservation reservation, long window, double units)
      implements Call {}

  /**
   * Acquires a concurrency permit.
   *
   * @param account the customer
   * @param reservation the request that waits for the reply
   */
  record PermitAcquisition(CustomerAccount account, QuotaReservation reservation) implements Call {}

  /**
   * Releases a concurrency permit; nothing waits for the reply.
   *
   * @param account the customer
   */
  record PermitRelease(CustomerAccount account) implements Call {}

  private final DecisionContext context;
  private final Map<String, Queue<Call>> callsByCounterName = new HashMap<>();

  PendingCounterCalls(DecisionContext context) {
    this.context = context;
  }

  /** Makes a call that adds an amount to a named count. */
  void submit(String counterName, double amount, Call call) {
    callsByCounterName.computeIfAbsent(counterName, missing -> new ArrayDeque<>()).add(call);
    context.emit(new IncrementCounter(counterName, amount, COUNT_TTL_MS));
  }

  /** Takes out the call that a reply for a name belongs to; null where none waits. */
  Call poll(String counterName) {
    Queue<Call> calls = callsByCounterName.get(counterName);
    if (calls == null) {
      return null;
    }
    Call call = calls.poll();
    if (calls.isEmpty()) {
      callsByCounterName.remove(counterName);
    }
    return call;
  }
}
