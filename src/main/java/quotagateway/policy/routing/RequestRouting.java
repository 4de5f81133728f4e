package quotagateway.policy.routing;

import quotagateway.policy.settings.DeduplicationScope;
import quotagateway.policy.settings.RequestClass;

/**
 * The earlier attempts of one request, as far as they restrict the selection of the next backend.
 */
public final class RequestRouting {

  private final RequestClass requestClass;
  private BackendStatus lastBackend;
  private BackendStatus deduplicatingBackend;

  /** Creates the routing of a request that has no attempts yet. */
  public RequestRouting(RequestClass requestClass) {
    this.requestClass = requestClass;
  }

  RequestClass requestClass() {
    return requestClass;
  }

  /** Returns the backend of the latest attempt, or null if there was none. */
  BackendStatus lastBackend() {
    return lastBackend;
  }

  void recordAttempt(BackendStatus backend) {
    lastBackend = backend;
  }

  /**
   * Binds all further attempts to the backends that deduplicate together with the given backend,
   * which may have executed the request. Only the first call has an effect.
   */
  public void bindTo(BackendStatus backend) {
    if (deduplicatingBackend == null) {
      deduplicatingBackend = backend;
    }
  }

  /**
   * Returns the backend whose zone or cell further attempts must stay in, or null if they may go to
   * any backend.
   */
  BackendStatus boundBackend() {
    boolean unrestricted = requestClass.deduplicationScope() == DeduplicationScope.ALL;
    return unrestricted ? null : deduplicatingBackend;
  }
}
