package quotagateway.policy.routing;

import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap;
import java.util.HashMap;
import java.util.Map;
import quotagateway.policy.context.DecisionContext;

/**
 * The reachability of each zone, and of each cell of a zone, that a known backend is in. Owned by
 * the policy's thread.
 */
final class GroupReachabilities {

  private final DecisionContext context;
  private final Map<String, GroupReachability> byZone = new HashMap<>();
  private final Int2ObjectOpenHashMap<GroupReachability> byGroup = new Int2ObjectOpenHashMap<>();

  GroupReachabilities(DecisionContext context) {
    this.context = context;
  }

  /** That of a zone. */
  GroupReachability ofZone(String zone) {
    GroupReachability known = byZone.get(zone);
    if (known == null) {
      known = new GroupReachability(context.startedAtMs());
      byZone.put(zone, known);
    }
    return known;
  }

  /** That of a cell, by the number of its group in the endpoint index. */
  GroupReachability ofCell(int group) {
    GroupReachability known = byGroup.get(group);
    if (known == null) {
      known = new GroupReachability(context.startedAtMs());
      byGroup.put(group, known);
    }
    return known;
  }
}
