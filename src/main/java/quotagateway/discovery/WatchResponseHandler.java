package quotagateway.discovery;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Validates the response to a watch and passes on the bytes of its body, in which messages and
 * chunks may end at any position. Closes the connection if the response is malformed, has a status
 * other than 200, or is complete.
 */
final class WatchResponseHandler extends SimpleChannelInboundHandler<HttpObject> {

  private final DiscoveryWatch watch;

  /** Whether the connection is being closed. Data that still arrives is ignored. */
  private boolean closing;

  WatchResponseHandler(DiscoveryWatch watch) {
    this.watch = watch;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
    if (closing) {
      return;
    }
    if (!isValid(part)) {
      close(ctx);
      return;
    }
    if (part instanceof HttpContent content && content.content().isReadable()) {
      watch.onData();
      ByteBuf data = content.content().retain();
      ctx.fireChannelRead(data);
    } else {
      watch.onResponse();
    }
    if (part instanceof LastHttpContent) {
      close(ctx);
    }
  }

  /**
   * Closes the connection and ignores the rest of the current read, as the decoder passes on all
   * parts of a read even after the channel was closed.
   */
  private void close(ChannelHandlerContext ctx) {
    closing = true;
    ctx.close();
  }

  private static boolean isValid(HttpObject part) {
    if (!part.decoderResult().isSuccess()) {
      return false;
    }
    return !(part instanceof HttpResponse response)
        || response.status().equals(HttpResponseStatus.OK);
  }
}
