package quotagateway.client;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import quotagateway.transport.CompactingCumulator;

/**
 * Decodes the requests of one client connection. A message that two parsers could frame differently
 * is rejected as malformed.
 */
public final class RequestDecoder extends HttpRequestDecoder {

  private static final int MAX_REQUEST_LINE_BYTES = 8_192;
  private static final int MAX_HEADER_BYTES = 16_384;

  /** The largest piece of a body that is passed on at once. */
  private static final int MAX_CHUNK_BYTES = 64 * 1024;

  /** Creates a decoder for one connection. */
  public RequestDecoder() {
    super(
        new HttpDecoderConfig()
            .setMaxInitialLineLength(MAX_REQUEST_LINE_BYTES)
            .setMaxHeaderSize(MAX_HEADER_BYTES)
            .setMaxChunkSize(MAX_CHUNK_BYTES)
            .setUseRfc9112TransferEncoding(true));
    setCumulator(CompactingCumulator.INSTANCE);
  }

  /**
   * Rejects the message to prevent request smuggling: a parser that uses the length would see
   * another request inside the bytes that are body here.
   */
  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException("Content-Length with Transfer-Encoding");
  }

  /** Returns whether part of a further request has been read. */
  boolean hasMoreBytes() {
    return actualReadableBytes() > 0;
  }

  /** Compacts what the reads have left undecoded, which may be a few bytes of a large buffer. */
  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) throws Exception {
    if (CompactingCumulator.isSparse(internalBuffer())) {
      channelRead(ctx, Unpooled.EMPTY_BUFFER);
    }
    super.channelReadComplete(ctx);
  }
}
