package quotagateway.policy.quota;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Queue;
import quotagateway.policy.action.IncrementCounter;
import quotagateway.policy.context.DecisionContext;

/**
 * The calls to the shared counter that have no reply yet. Replies for one counter name arrive in
 * the order of its calls.
 */
final class PendingCounterCalls {

  /** Time after which the counter removes a count: longer than the longest window of a bucket. */
  static final double COUNT_TTL_MS = 60_000;

  /** A call to the counter. */
  sealed interface Call {
    /** Returns the account of the customer that the call is for. */
    CustomerAccount account();
  }

  /**
   * Adds units to the count of a window, or reads that count.
   *
   * @param account the customer's account
   * @param reservation the request that waits for the reply
   * @param window the window of the count
   * @param units the units that the call adds; 0 to read the count
   */
  record UnitsCall(CustomerAccount account, QuotaReservation reservation, long window, double units)
      implements Call {}

  /**
   * Acquires a concurrency permit.
   *
   * @param account the customer's account
   * @param reservation the request that waits for the reply
   */
  record PermitAcquisition(CustomerAccount account, QuotaReservation reservation) implements Call {}

  /**
   * Releases a concurrency permit. No request waits for the reply.
   *
   * @param account the customer's account
   */
  record PermitRelease(CustomerAccount account) implements Call {}

  private final DecisionContext context;
  private final Map<String, Queue<Call>> callsByCounterName = new HashMap<>();

  PendingCounterCalls(DecisionContext context) {
    this.context = context;
  }

  /** Emits a call that adds an amount to a named count. */
  void submit(String counterName, double amount, Call call) {
    callsByCounterName.computeIfAbsent(counterName, name -> new ArrayDeque<>()).add(call);
    context.emit(new IncrementCounter(counterName, amount, COUNT_TTL_MS));
  }

  /**
   * Removes and returns the oldest pending call for a counter name, which a reply for that name
   * belongs to; null if there is none.
   */
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
