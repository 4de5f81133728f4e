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
 * Hands the bytes of a watch to its reader, and closes the connection when a message is invalid or
 * stops before its end: the next watch begins after the last valid version and makes up for it.
 */
final class EndpointListHandler extends SimpleChannelInboundHandler<ByteBuf> {

  private static final Logger LOG = Logger.getLogger(EndpointListHandler.class.getName());

  /** Bounds a pause within a message: discovery writes each of them without one. */
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
   * Prevents a message that stopped before its end from swallowing all that follows on the watch,
   * as its heartbeats would keep the connection open. Cost: a timer for each read that ends within
   * a message.
   */
  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    if (reader.hasPartialMessage()) {
      long readsSoFar = readCount;
      loop.schedule(
          () -> closeIfStalled(ctx, readsSoFar), PARTIAL_MESSAGE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }
  }

  private void closeIfStalled(ChannelHandlerContext ctx, long readsBefore) {
    if (reader.hasPartialMessage() && readCount == readsBefore) {
      ctx.close();
    }
  }

  /** The connection broke, or brought what is no HTTP. */
  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    LOG.log(Level.FINE, "watch failed", cause);
    ctx.close();
  }
}
