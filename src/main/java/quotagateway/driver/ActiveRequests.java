package quotagateway.driver;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Registry of this gateway's active requests by id: those that are not finished or have an attempt
 * in flight. Confined to the event loop's thread.
 */
final class ActiveRequests {

  private final Map<String, ActiveRequest> byId = new HashMap<>();

  void add(ActiveRequest request) {
    byId.put(request.id(), request);
  }

  /** Returns the active request with this id, or null. */
  ActiveRequest get(String id) {
    return byId.get(id);
  }

  boolean contains(String id) {
    return byId.containsKey(id);
  }

  int size() {
    return byId.size();
  }

  Collection<ActiveRequest> all() {
    return byId.values();
  }

  /**
   * Removes a complete request and releases its body, unless it has been removed before. A request
   * with an attempt in flight stays, because the attempt's outcome is still reported to the policy.
   */
  void removeIfComplete(ActiveRequest request) {
    if (request.isComplete() && byId.remove(request.id(), request)) {
      request.body.release();
    }
  }
}
