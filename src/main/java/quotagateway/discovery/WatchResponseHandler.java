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

  WatchResponseHandler(DiscoveryWatch watch) {
    this.watch = watch;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
    if (!isValid(part)) {
      ctx.close();
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
      ctx.close();
    }
  }

  private static boolean isValid(HttpObject part) {
    if (!part.decoderResult().isSuccess()) {
      return false;
    }
    return !(part instanceof HttpResponse response)
        || response.status().equals(HttpResponseStatus.OK);
  }
}
