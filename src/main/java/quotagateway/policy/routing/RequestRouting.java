package quotagateway.policy.routing;

import quotagateway.policy.settings.DeduplicationScope;
import quotagateway.policy.settings.RequestClass;

/** Where the attempts of one request were, as far as it binds the next one. */
public final class RequestRouting {

  private final RequestClass requestClass;
  private BackendStatus lastBackend;
  private BackendStatus deduplicatingBackend;

  /** The routing of a request without attempts. */
  public RequestRouting(RequestClass requestClass) {
    this.requestClass = requestClass;
  }

  /** The class that the request is served by. */
  RequestClass requestClass() {
    return requestClass;
  }

  /** Where the latest attempt went, or null. */
  BackendStatus lastBackend() {
    return lastBackend;
  }

  void attemptStarted(BackendStatus backend) {
    lastBackend = backend;
  }

  /**
   * Binds all further attempts to the backends that deduplicate together with this one, which may
   * have executed the request; only the first call counts.
   */
  public void bindTo(BackendStatus backend) {
    if (deduplicatingBackend == null) {
      deduplicatingBackend = backend;
    }
  }

  /**
   * The backend whose zone or cell a further attempt has to stay in; null where it may go anywhere.
   */
  BackendStatus boundTo() {
    boolean anywhere = requestClass.deduplicationScope() == DeduplicationScope.ALL;
    return anywhere ? null : deduplicatingBackend;
  }
}
