package quotagateway.policy;

import java.util.LinkedHashMap;
import java.util.List;
import quotagateway.policy.action.FailRequest;
import quotagateway.policy.action.RejectReason;
import quotagateway.policy.action.RejectRequest;
import quotagateway.policy.context.DecisionContext;
import quotagateway.policy.quota.QuotaLimiter;
import quotagateway.policy.retry.RetryPolicy;

/**
 * The requests without a final response, in order of arrival, and the operations that end them. A
 * request ends once: it is removed from this collection, its concurrency permit is released, and
 * its units are refunded if no attempt was started.
 *
 * <p>Not thread-safe; confined to the policy's thread.
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

  /** Returns the open request with the given ID, or null. */
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

  /** Returns a copy of the open requests, which callers can iterate while requests end. */
  List<OpenRequest> snapshot() {
    return List.copyOf(requests.values());
  }

  /**
   * Ends a request without an action of its own, for example after a backend's final response. Its
   * concurrency permit is released; its units are not refunded.
   */
  void finish(OpenRequest request) {
    requests.remove(request.id);
    quotaLimiter.end(request.reservation);
  }

  /** Ends a request that gets no further attempt: rejects it if that is safe, else fails it. */
  void rejectOrFail(OpenRequest request, RejectReason reason) {
    if (retryPolicy.mayReject(request.attempts)) {
      reject(request, 0, reason);
    } else {
      finish(request);
      context.emit(new FailRequest(request.id, reason));
    }
  }

  /**
   * Rejects a request. A rejection promises the client that it may safely send the request again.
   *
   * @param retryAfterMs the delay after which the client is advised to retry; 0 gives no advice
   */
  void reject(OpenRequest request, double retryAfterMs, RejectReason reason) {
    refundUnlessAttempted(request);
    finish(request);
    double cappedRetryAfterMs = 0;
    if (request.capabilities.retryAfter()) {
      cappedRetryAfterMs = Math.min(retryAfterMs, request.capabilities.maxRetryAfterMs());
    }
    context.emit(new RejectRequest(request.id, cappedRetryAfterMs, reason));
  }

  /**
   * Ends a request whose client has disconnected. Its wait for the counter is cancelled, because a
   * later reply would otherwise forward the request to a backend although no client awaits the
   * response. An attempt in progress is reported later by its own end event, and the request keeps
   * its reservation until then.
   */
  void clientDisconnected(String id) {
    OpenRequest request = requests.remove(id);
    if (request == null) {
      return;
    }
    quotaLimiter.cancelWait(request.reservation);
    refundUnlessAttempted(request);
    if (request.currentAttempt == null) {
      quotaLimiter.end(request.reservation);
    }
  }

  private void refundUnlessAttempted(OpenRequest request) {
    if (request.attempts.startedCount() == 0) {
      quotaLimiter.refund(request.reservation);
    }
  }
}
