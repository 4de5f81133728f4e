package quotagateway.policy.routing;

import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap;
import java.util.HashMap;
import java.util.Map;
import quotagateway.policy.context.DecisionContext;

/**
 * The reachability of each zone and cell that contains a backend with a status. Owned by the
 * policy's thread.
 */
final class GroupReachabilities {

  private final DecisionContext context;
  private final Map<String, GroupReachability> byZone = new HashMap<>();
  private final Int2ObjectOpenHashMap<GroupReachability> byGroup = new Int2ObjectOpenHashMap<>();

  GroupReachabilities(DecisionContext context) {
    this.context = context;
  }

  /** Returns the reachability of a zone. */
  GroupReachability forZone(String zone) {
    GroupReachability reachability = byZone.get(zone);
    if (reachability == null) {
      reachability = new GroupReachability(context.startedAtMs());
      byZone.put(zone, reachability);
    }
    return reachability;
  }

  /** Returns the reachability of a cell, given its group number in the endpoint index. */
  GroupReachability forCell(int group) {
    GroupReachability reachability = byGroup.get(group);
    if (reachability == null) {
      reachability = new GroupReachability(context.startedAtMs());
      byGroup.put(group, reachability);
    }
    return reachability;
  }
}
