package quotagateway.transport;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Pauses accepting on a listening socket for a short time, in which new connections wait in the
 * kernel's queue. It does so by itself after an accept that failed, because the cause often passes
 * within moments, and an attempt at once might fail as well. Netty itself would not accept for a
 * whole second, which may be most of a client's time.
 *
 * <p>To be set as the handler of a server channel. Confined to the event loop's thread.
 */
public final class AcceptThrottle extends ChannelInboundHandlerAdapter {

  private static final long RETRY_DELAY_MS = 10;

  /** The listening socket; null before it exists. */
  private Channel serverChannel;

  /** Ends the pause; null while accepting is not paused. */
  private Future<?> pauseEnd;

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    serverChannel = context.channel();
  }

  /** Returns whether accepting is paused. */
  public boolean isPaused() {
    return pauseEnd != null;
  }

  /**
   * Pauses accepting unless it is paused already, or nothing listens.
   *
   * @param onElapsed called once the time has passed; accepting stays paused until {@link #resume}
   */
  public void pause(long milliseconds, Runnable onElapsed) {
    if (isPaused() || serverChannel == null) {
      return;
    }
    serverChannel.config().setAutoRead(false);
    pauseEnd = serverChannel.eventLoop().schedule(onElapsed, milliseconds, TimeUnit.MILLISECONDS);
  }

  /** Accepts connections again. */
  public void resume() {
    if (isPaused()) {
      pauseEnd.cancel(false);
      pauseEnd = null;
      serverChannel.config().setAutoRead(true);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    EventLog.current().line(LogEvent.ACCEPT_FAILED, String.valueOf(cause.getMessage())).write();
    pause(RETRY_DELAY_MS, this::resume);
  }
}
