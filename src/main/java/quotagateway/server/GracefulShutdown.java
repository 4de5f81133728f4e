package quotagateway.server;

import io.netty.channel.EventLoop;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import quotagateway.client.ClientServer;
import quotagateway.lifecycle.Lifecycle;
import quotagateway.policy.settings.PolicySettings;
import quotagateway.policy.settings.RequestClass;

/**
 * Ends the service of a gateway without losing a request: accepts connections a little longer,
 * responds to all that was accepted, then closes what is left. Runs on a thread of its own, beside
 * the event loop's.
 */
final class GracefulShutdown {

  /**
   * For how long connections are still accepted: after SIGTERM new ones go on coming for up to 0.4
   * s, until the upstream load balancer has noticed.
   */
  private static final long ACCEPT_MS = (long) ClientServer.DRAIN_NOTICE_MS;

  /**
   * How long after the longest deadline requests may be open: SIGKILL comes no sooner than that
   * deadline and 0.7 s after SIGTERM.
   */
  private static final long RESPONSE_GRACE_MS = 300;

  /** SIGKILL waits for no longer deadline than this. */
  private static final double MAX_DEADLINE_MS = 3_000;

  /**
   * For how long clients may read their last responses, when no more is accepted; SIGKILL is
   * further off.
   */
  private static final long LAST_RESPONSES_MS = 330;

  private static final long IDLE_CHECK_INTERVAL_MS = 10;

  private final EventLoop loop;
  private final Lifecycle lifecycle;
  private final GatewayComponents gateway;
  private final UpgradeCoordinator serving;
  private final CountDownLatch idle = new CountDownLatch(1);

  /**
   * @param serving which processes of this gateway serve
   */
  GracefulShutdown(
      EventLoop loop, Lifecycle lifecycle, GatewayComponents gateway, UpgradeCoordinator serving) {
    this.loop = loop;
    this.lifecycle = lifecycle;
    this.gateway = gateway;
    this.serving = serving;
  }

  /**
   * Returns once no client is connected, or what is left has been closed.
   *
   * @param settings in use, whose longest deadline is waited for
   */
  void run(PolicySettings settings) {
    lifecycle.shutDown();
    stopAccepting();
    watchForIdle();
    try {
      if (!idle.await(longestResponseMs(settings), TimeUnit.MILLISECONDS)) {
        closeRemaining();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Where another process serves at the same address, it gets all new connections as soon as this
   * one stops accepting, and it is the one that the upstream load balancer asks; so there is
   * nothing to wait for.
   */
  private void stopAccepting() {
    long delayMs = serving.isOtherProcessPresent() ? 0 : ACCEPT_MS;
    loop.schedule(gateway.clients()::stopAccepting, delayMs, TimeUnit.MILLISECONDS);
  }

  private void watchForIdle() {
    loop.scheduleWithFixedDelay(
        () -> {
          if (gateway.clients().hasNoConnections()) {
            idle.countDown();
          }
        },
        ACCEPT_MS + IDLE_CHECK_INTERVAL_MS,
        IDLE_CHECK_INTERVAL_MS,
        TimeUnit.MILLISECONDS);
  }

  private static long longestResponseMs(PolicySettings settings) {
    double longestDeadlineMs =
        settings.requestClasses().stream().mapToDouble(RequestClass::deadlineMs).max().orElse(0);
    return RESPONSE_GRACE_MS + (long) Math.min(MAX_DEADLINE_MS, longestDeadlineMs);
  }

  /** Fails open requests; a response that is being streamed goes on for as long as it takes. */
  private void closeRemaining() throws InterruptedException {
    loop.submit(gateway.clients()::shutDown).sync();
    do {
      idle.await(LAST_RESPONSES_MS, TimeUnit.MILLISECONDS);
    } while (loop.submit(gateway.driver()::streamingResponseCount).sync().getNow() > 0);
  }
}
