package quotagateway.backend;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;
import java.util.List;
import quotagateway.transport.CompactingCumulator;
import quotagateway.transport.ProtocolHeaders;
import quotagateway.transport.RetainedHeaders;
import quotagateway.transport.SocketTransport;

/**
 * Decodes the responses on one connection to a backend, and tells whether received bytes are still
 * undecoded. It is stricter than Netty's decoder: a response that can be interpreted in two ways is
 * malformed.
 */
final class ResponseDecoder extends HttpResponseDecoder {

  private static final int MAX_STATUS_LINE_BYTES = 1_024;
  private static final int MAX_HEADER_BYTES = 8_192;

  /** Headers that the gateway reads or forwards. */
  private static final List<AsciiString> RETAINED_HEADERS =
      List.of(
          HttpHeaderNames.CONNECTION,
          HttpHeaderNames.CONTENT_LENGTH,
          HttpHeaderNames.CONTENT_TYPE,
          HttpHeaderNames.TRANSFER_ENCODING,
          ProtocolHeaders.NOT_STARTED,
          ProtocolHeaders.UNITS_CHARGED);

  private final RetainedHeaders.Factory headers;

  ResponseDecoder() {
    this(new RetainedHeaders.Factory(RETAINED_HEADERS));
  }

  private ResponseDecoder(RetainedHeaders.Factory headers) {
    super(
        new HttpDecoderConfig()
            .setMaxInitialLineLength(MAX_STATUS_LINE_BYTES)
            .setMaxHeaderSize(MAX_HEADER_BYTES)
            .setMaxChunkSize(SocketTransport.MAX_READ_BYTES)
            .setHeadersFactory(headers)
            .setTrailersFactory(new RetainedHeaders.Factory(List.of()))
            .setUseRfc9112TransferEncoding(true));
    this.headers = headers;
    setCumulator(CompactingCumulator.INSTANCE);
  }

  /** Rejects a response with two framings, which may disagree on where the body ends. */
  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException("Content-Length with Transfer-Encoding");
  }

  /**
   * Returns false, because the gateway never requests a protocol switch: the response after an
   * unexpected 101 is still HTTP/1.1.
   */
  @Override
  protected boolean isSwitchingToNonHttp1Protocol(HttpResponse response) {
    return false;
  }

  /**
   * Rejects a header line without a colon directly after the name. In a response, Netty also ends a
   * header name at white space and so accepts a line without any colon.
   */
  @Override
  protected AsciiString splitHeaderName(byte[] line, int start, int length) {
    if (start + length >= line.length || line[start + length] != ':') {
      throw new IllegalArgumentException("header without a colon");
    }
    return super.splitHeaderName(line, start, length);
  }

  /** Returns whether received bytes have not been decoded yet. */
  boolean hasUndecodedBytes() {
    return actualReadableBytes() > 0;
  }

  /** Returns the memory of the current head and of what has not been decoded yet. */
  int heldBytes() {
    ByteBuf undecoded = internalBuffer();
    return headers.heldBytes() + (undecoded.isReadable() ? undecoded.capacity() : 0);
  }

  /** Compacts what the reads have left undecoded, which may be a few bytes of a large buffer. */
  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) throws Exception {
    if (CompactingCumulator.needsCompaction(internalBuffer())) {
      channelRead(ctx, Unpooled.EMPTY_BUFFER);
    }
    super.channelReadComplete(ctx);
  }
}
