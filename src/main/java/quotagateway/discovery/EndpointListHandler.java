package quotagateway.discovery;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Feeds the bytes of a watch to its reader, and closes the connection if a message is invalid or
 * stops before its end. The next watch then requests the changes after the last valid version, so
 * no change is lost.
 */
final class EndpointListHandler extends SimpleChannelInboundHandler<ByteBuf> {

  private static final Logger LOG = Logger.getLogger(EndpointListHandler.class.getName());

  /** Longest pause within a message; discovery writes each message without pauses. */
  private static final long PARTIAL_MESSAGE_TIMEOUT_MS = 300;

  private final DiscoveryWatch watch;
  private final DiscoveryWatch.Owner owner;
  private final EndpointListReader reader;
  private final EventLoop loop;
  private boolean invalidListSeen;
  private long readCount;

  EndpointListHandler(
      DiscoveryWatch watch, DiscoveryWatch.Owner owner, EndpointListReader reader, EventLoop loop) {
    this.watch = watch;
    this.owner = owner;
    this.reader = reader;
    this.loop = loop;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, ByteBuf data) {
    readCount++;
    if (invalidListSeen || !owner.isInUse(watch)) {
      return;
    }
    try {
      reader.read(ByteBufUtil.getBytes(data));
    } catch (InvalidEndpointListException e) {
      invalidListSeen = true;
      owner.onInvalidList(e);
      ctx.close();
    }
  }

  /**
   * Schedules a check if the read ended within a message. The check closes the connection unless
   * further body data, of any kind, has been read by then. Without it, everything that follows a
   * message that stopped before its end would be read as part of that message, as heartbeats keep
   * the connection open. The drawback is a timer for each such read.
   */
  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    if (reader.hasPartialMessage()) {
      long readCountAtSchedule = readCount;
      loop.schedule(
          () -> closeIfStalled(ctx, readCountAtSchedule),
          PARTIAL_MESSAGE_TIMEOUT_MS,
          TimeUnit.MILLISECONDS);
    }
  }

  private void closeIfStalled(ChannelHandlerContext ctx, long readCountAtSchedule) {
    if (reader.hasPartialMessage() && readCount == readCountAtSchedule) {
      ctx.close();
    }
  }

  /** Closes the connection after an I/O error or data that is not valid HTTP. */
  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    LOG.log(Level.FINE, "watch failed", cause);
    ctx.close();
  }
}
