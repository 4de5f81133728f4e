package quotagateway.counter;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.LineBasedFrameDecoder;
import io.netty.handler.codec.TooLongFrameException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/** Reports the lines of one channel, and its end, to its connection. */
final class CounterReplyHandler extends SimpleChannelInboundHandler<ByteBuf> {

  /** Bounds a pause within a line: the counter writes each of them at once. */
  private static final long PARTIAL_LINE_TIMEOUT_MS = 10;

  private final CounterConnection connection;
  private final LineDecoder lines;
  private final EventLoop loop;

  /** Splits the bytes of a channel into lines, and shows whether some are left over. */
  static final class LineDecoder extends LineBasedFrameDecoder {

    LineDecoder() {
      super(CounterLineCodec.MAX_LINE_BYTES, true, true);
    }

    boolean hasPartialLine() {
      return actualReadableBytes() > 0;
    }
  }

  /**
   * Creates the handler.
   *
   * @param lines the handler before this one
   */
  CounterReplyHandler(CounterConnection connection, LineDecoder lines, EventLoop loop) {
    this.connection = connection;
    this.lines = lines;
    this.loop = loop;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, ByteBuf line) {
    connection.onLine(line.toString(StandardCharsets.US_ASCII));
  }

  /**
   * Prevents noise without a line end from becoming the start of the next reply, whose total would
   * be misread. Cost: a timer for each read that ends within a line.
   */
  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    if (lines.hasPartialLine()) {
      double lastLineAtMs = connection.lastLineAtMs();
      loop.schedule(
          () -> failIfStalled(lastLineAtMs), PARTIAL_LINE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }
  }

  private void failIfStalled(double lastLineAtMsThen) {
    if (lines.hasPartialLine() && connection.lastLineAtMs() == lastLineAtMsThen) {
      connection.onMalformedReply();
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    connection.onDisconnected();
  }

  /** The connection broke, or brought a line that is too long to be a reply. */
  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    if (cause instanceof TooLongFrameException) {
      connection.onMalformedReply();
    }
    ctx.close();
  }
}
