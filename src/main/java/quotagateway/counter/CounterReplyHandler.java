package quotagateway.counter;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.LineBasedFrameDecoder;
import io.netty.handler.codec.TooLongFrameException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/** Passes the lines received on a channel, and the channel's close, to its connection. */
final class CounterReplyHandler extends SimpleChannelInboundHandler<ByteBuf> {

  /** Longest pause within a line; the counter writes each line in one piece. */
  private static final long PARTIAL_LINE_TIMEOUT_MS = 10;

  private final CounterConnection connection;
  private final LineDecoder lineDecoder;
  private final EventLoop loop;

  /** Splits the received bytes into lines, and tells whether the last line is incomplete. */
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
   * @param lineDecoder the line decoder that precedes this handler in the pipeline
   */
  CounterReplyHandler(CounterConnection connection, LineDecoder lineDecoder, EventLoop loop) {
    this.connection = connection;
    this.lineDecoder = lineDecoder;
    this.loop = loop;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, ByteBuf line) {
    connection.onLine(line.toString(StandardCharsets.US_ASCII));
  }

  /**
   * Schedules a check of the incomplete line if the read ended within one. Without this, invalid
   * bytes without a line end would become the start of the next reply, and its total would be
   * misread. The drawback is a timer for each such read.
   */
  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    if (lineDecoder.hasPartialLine()) {
      double lastLineAtMs = connection.lastLineAtMs();
      loop.schedule(
          () -> failIfLineStalled(lastLineAtMs), PARTIAL_LINE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }
  }

  private void failIfLineStalled(double lastLineAtMsAtRead) {
    if (lineDecoder.hasPartialLine() && connection.lastLineAtMs() == lastLineAtMsAtRead) {
      connection.onMalformedReply();
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    connection.onDisconnected();
  }

  /** Closes the channel after an I/O error or a line that is too long to be a reply. */
  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    if (cause instanceof TooLongFrameException) {
      connection.onMalformedReply();
    }
    ctx.close();
  }
}
