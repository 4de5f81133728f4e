package quotagateway.server;

import quotagateway.config.ResourceLimits;
import quotagateway.driver.PolicyDriver;
import quotagateway.transport.ConnectionBudget;

/**
 * Shares the limits of the gateway with another process of it while one runs, as during an upgrade:
 * descriptors, and the hard limits of customers. Confined to the event loop's thread.
 */
final class UpgradeSharing implements Runnable {

  private final ConnectionBudget budget;
  private final ResourceLimits limits;
  private final UpgradeCoordinator startedProcesses;
  private final PolicyDriver driver;
  private boolean shared;

  /**
   * Creates an instance for a process that runs alone.
   *
   * @param startedProcesses locks that tell which processes of this gateway have started
   */
  UpgradeSharing(
      ConnectionBudget budget,
      ResourceLimits limits,
      UpgradeCoordinator startedProcesses,
      PolicyDriver driver) {
    this.budget = budget;
    this.limits = limits;
    this.startedProcesses = startedProcesses;
    this.driver = driver;
  }

  /** Looks for another process, and divides the limits anew if one has started or ended. */
  @Override
  public void run() {
    boolean otherPresent = startedProcesses.isOtherProcessPresent();
    budget.shareWithOtherProcess(otherPresent ? limits.maxConnectionsDuringUpgrade() : 0);
    if (otherPresent != shared) {
      shared = otherPresent;
      driver.onProcessCountChanged(shared ? 2 : 1);
    }
  }
}
