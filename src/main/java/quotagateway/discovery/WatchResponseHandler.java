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
 * Checks the response to a watch and passes on the bytes of its body; messages and chunks may end
 * anywhere in them. Closes the connection of a response that is malformed, not 200 or complete.
 */
final class WatchResponseHandler extends SimpleChannelInboundHandler<HttpObject> {

  private final DiscoveryWatch watch;

  /** Whether the connection is being closed: nothing that still comes on it is to be used. */
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
   * Closes the connection. Prevents the rest of a read from being used: the decoder passes on all
   * parts of it, whether or not the channel was closed at one of them.
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
