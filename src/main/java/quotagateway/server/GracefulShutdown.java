package quotagateway.server;

import io.netty.channel.EventLoop;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import quotagateway.client.ClientServer;
import quotagateway.lifecycle.Lifecycle;
import quotagateway.policy.settings.PolicySettings;
import quotagateway.policy.settings.RequestClass;

/**
 * Shuts a gateway down without losing an accepted request: continues to accept connections for a
 * short time, responds to all accepted requests, then closes the remaining connections. Runs on a
 * thread other than the event loop's.
 */
final class GracefulShutdown {

  /**
   * How long connections are still accepted. After SIGTERM, new connections arrive for up to 0.4 s,
   * until the upstream load balancer has noticed that this gateway is not ready.
   */
  private static final long ACCEPT_MS = (long) ClientServer.DRAIN_NOTICE_MS;

  /**
   * How long requests may stay open beyond the longest deadline. SIGKILL follows SIGTERM no earlier
   * than that deadline plus 0.7 s.
   */
  private static final long RESPONSE_GRACE_MS = 300;

  /**
   * Upper bound for the longest deadline when the wait for responses is computed. The delay before
   * SIGKILL does not grow with deadlines beyond it.
   */
  private static final double MAX_AWAITED_DEADLINE_MS = 3_000;

  /**
   * How long clients have to read their last responses after these have gone to the sockets.
   * SIGKILL comes later than that, unless a response was streamed.
   */
  private static final long LAST_RESPONSE_READ_MS = 330;

  private static final long IDLE_CHECK_INTERVAL_MS = 10;

  private final EventLoop loop;
  private final Lifecycle lifecycle;
  private final GatewayComponents components;
  private final UpgradeCoordinator servingProcesses;
  private final CountDownLatch idle = new CountDownLatch(1);

  /**
   * @param servingProcesses locks that tell which processes of this gateway serve clients
   */
  GracefulShutdown(
      EventLoop loop,
      Lifecycle lifecycle,
      GatewayComponents components,
      UpgradeCoordinator servingProcesses) {
    this.loop = loop;
    this.lifecycle = lifecycle;
    this.components = components;
    this.servingProcesses = servingProcesses;
  }

  /**
   * Shuts down and returns once no client is connected or the remaining connections have been
   * closed.
   *
   * @param settings the settings in use, whose longest deadline bounds the wait
   */
  void run(PolicySettings settings) {
    lifecycle.shutDown();
    stopAccepting();
    pollForIdle();
    try {
      if (!idle.await(responseTimeoutMs(settings), TimeUnit.MILLISECONDS)) {
        closeRemaining();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Schedules the end of accepting connections: at once if another process serves at the same
   * address, otherwise after {@link #ACCEPT_MS}. The other process gets all new connections as soon
   * as this one stops accepting, and it is the one that the upstream load balancer checks.
   */
  private void stopAccepting() {
    long delayMs = servingProcesses.isOtherProcessPresent() ? 0 : ACCEPT_MS;
    loop.schedule(components.clients()::stopAccepting, delayMs, TimeUnit.MILLISECONDS);
  }

  private void pollForIdle() {
    loop.scheduleWithFixedDelay(
        () -> {
          if (components.clients().hasNoConnections()) {
            idle.countDown();
          }
        },
        ACCEPT_MS + IDLE_CHECK_INTERVAL_MS,
        IDLE_CHECK_INTERVAL_MS,
        TimeUnit.MILLISECONDS);
  }

  private static long responseTimeoutMs(PolicySettings settings) {
    double longestDeadlineMs =
        settings.requestClasses().stream().mapToDouble(RequestClass::deadlineMs).max().orElse(0);
    return RESPONSE_GRACE_MS + (long) Math.min(MAX_AWAITED_DEADLINE_MS, longestDeadlineMs);
  }

  /**
   * Fails open requests, waits until the last byte of all responses has gone to the clients'
   * sockets, and then for clients to read it. Responses that are being streamed continue until they
   * are complete; only a client that does not read at all ends the wait for its response.
   */
  private void closeRemaining() throws InterruptedException {
    loop.submit(components.clients()::shutDown).sync();
    while (loop.submit(components.clients()::hasPendingResponses).sync().getNow()) {
      idle.await(IDLE_CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }
    idle.await(LAST_RESPONSE_READ_MS, TimeUnit.MILLISECONDS);
  }
}
