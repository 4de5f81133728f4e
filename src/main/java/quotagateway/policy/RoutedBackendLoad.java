package quotagateway.policy;

import quotagateway.policy.admission.LoadShedder;
import quotagateway.policy.quota.BackendLoad;
import quotagateway.policy.routing.BackendRouter;

/** The backend load that quota decisions depend on, as routing and admission know it. */
record RoutedBackendLoad(BackendRouter router, LoadShedder loadShedder) implements BackendLoad {

  @Override
  public double meanServiceMs() {
    return router.fleetServiceMs();
  }

  @Override
  public boolean isOverloadedForUnconfirmed(double priorityWeight) {
    return loadShedder.isOverloadedForUnconfirmed(priorityWeight);
  }
}
