package quotagateway.client;

import io.netty.channel.Channel;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Pauses accepting for a short time, in which new connections wait in the kernel's queue. Confined
 * to the event loop's thread, except for {@link #attach}.
 */
final class AcceptThrottle {

  private volatile Channel serverChannel;

  /** Ends the pause; null while accepting is not paused. */
  private Future<?> pauseEnd;

  /** Sets the listening socket that is throttled from now on. */
  void attach(Channel listening) {
    serverChannel = listening;
  }

  boolean isPaused() {
    return pauseEnd != null;
  }

  /**
   * Pauses accepting unless it is paused already, or nothing listens.
   *
   * @param onElapsed called once the time has passed; accepting stays paused until {@link #resume}
   */
  void pause(long milliseconds, Runnable onElapsed) {
    if (isPaused() || serverChannel == null) {
      return;
    }
    serverChannel.config().setAutoRead(false);
    pauseEnd = serverChannel.eventLoop().schedule(onElapsed, milliseconds, TimeUnit.MILLISECONDS);
  }

  void resume() {
    if (isPaused()) {
      pauseEnd.cancel(false);
      pauseEnd = null;
      serverChannel.config().setAutoRead(true);
    }
  }
}
