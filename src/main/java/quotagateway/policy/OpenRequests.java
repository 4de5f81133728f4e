package quotagateway.policy;

import java.util.LinkedHashMap;
import java.util.List;
import quotagateway.policy.action.FailRequest;
import quotagateway.policy.action.RejectRequest;
import quotagateway.policy.context.DecisionContext;
import quotagateway.policy.quota.QuotaLimiter;
import quotagateway.policy.retry.RetryPolicy;

/**
 * The requests without a final response, in the order of their arrival, and the ways in which they
 * end. A request ends once: it is taken out here, its concurrency permit is released, and its units
 * are returned if no attempt was started.
 *
 * <p>Owned by the thread of its policy.
 */
final class OpenRequests {

  private final DecisionContext context;
  private final QuotaLimiter quotaLimiter;
  private final RetryPolicy retryPolicy;
  private final LinkedHashMap<String, OpenRequest> requests = new LinkedHashMap<>();

  OpenRequests(DecisionContext context, QuotaLimiter quotaLimiter, RetryPolicy retryPolicy) {
    this.context = context;
    this.quotaLimiter = quotaLimiter;
    this.retryPolicy = retryPolicy;
  }

  void add(OpenRequest request) {
    requests.put(request.id, request);
  }

  /** The open request of that id, or null. */
  OpenRequest get(String id) {
    return requests.get(id);
  }

  boolean contains(OpenRequest request) {
    return requests.containsKey(request.id);
  }

  int size() {
    return requests.size();
  }

  boolean isEmpty() {
    return requests.isEmpty();
  }

  /** The requests that are open now; unlike this list, the set changes while they are checked. */
  List<OpenRequest> snapshot() {
    return List.copyOf(requests.values());
  }

  /** Ends a request that has had its final response from a backend. */
  void finish(OpenRequest request) {
    requests.remove(request.id);
    quotaLimiter.end(request.quota);
  }

  /** Ends a request that gets no further attempt: rejects it where that is safe, else fails it. */
  void giveUp(OpenRequest request) {
    if (retryPolicy.mayReject(request.attempts)) {
      reject(request, 0);
    } else {
      finish(request);
      context.emit(new FailRequest(request.id));
    }
  }

  /**
   * Ends a request by a rejection, which promises that its client may safely send it again.
   *
   * @param retryAfterMs when its client had better come back; 0 gives no advice
   */
  void reject(OpenRequest request, double retryAfterMs) {
    refundUnlessAttempted(request);
    finish(request);
    double adviceMs = 0;
    if (request.capabilities.retryAfter()) {
      adviceMs = Math.min(retryAfterMs, request.capabilities.maxRetryAfterMs());
    }
    context.emit(new RejectRequest(request.id, adviceMs));
  }

  /**
   * Ends a request whose client has gone. Its wait for the counter ends, too: a reply that comes
   * later would have it forwarded to a backend for nobody. Its attempt in progress, if there is
   * one, ends by itself.
   */
  void clientDisconnected(String id) {
    OpenRequest request = requests.remove(id);
    if (request == null) {
      return;
    }
    quotaLimiter.cancelWait(request.quota);
    refundUnlessAttempted(request);
    if (request.liveAttempt == null) {
      quotaLimiter.end(request.quota);
    }
  }

  private void refundUnlessAttempted(OpenRequest request) {
    if (request.attempts.started() == 0) {
      quotaLimiter.refund(request.quota);
    }
  }
}
