package quotagateway.driver;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * The requests of this gateway that are not over, by their ids. Owned by the event loop's thread.
 */
final class ActiveRequests {

  private final Map<String, ActiveRequest> byId = new HashMap<>();

  void add(ActiveRequest request) {
    byId.put(request.id(), request);
  }

  /** The request of that id, or null. */
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
   * Removes the request and releases its body if it is over and has not been removed yet. It stays
   * while an attempt of it is in flight, whose outcome the policy still gets.
   */
  void removeIfOver(ActiveRequest request) {
    if (request.isOver() && byId.remove(request.id(), request)) {
      request.body.release();
    }
  }
}
