package quotagateway.client;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.util.AsciiString;
import java.util.List;
import quotagateway.transport.CompactingCumulator;
import quotagateway.transport.ProtocolHeaders;
import quotagateway.transport.RetainedHeaders;

/**
 * Decodes the requests of one client connection. A message that two parsers could frame differently
 * is rejected as malformed.
 */
public final class RequestDecoder extends HttpRequestDecoder {

  private static final int MAX_REQUEST_LINE_BYTES = 8_192;
  private static final int MAX_HEADER_BYTES = 16_384;

  /** The largest piece of a body that is passed on at once. */
  private static final int MAX_CHUNK_BYTES = 64 * 1024;

  /** Headers that the gateway reads or forwards. */
  private static final List<AsciiString> RETAINED_HEADERS =
      List.of(
          HttpHeaderNames.HOST,
          HttpHeaderNames.CONNECTION,
          HttpHeaderNames.CONTENT_LENGTH,
          HttpHeaderNames.CONTENT_TYPE,
          HttpHeaderNames.EXPECT,
          HttpHeaderNames.TRANSFER_ENCODING,
          ProtocolHeaders.REQUEST_ID,
          ProtocolHeaders.REQUEST_CLASS,
          ProtocolHeaders.PLAN,
          ProtocolHeaders.CUSTOMER,
          ProtocolHeaders.TIMEOUT_MS,
          ProtocolHeaders.IDEMPOTENCY_KEY,
          ProtocolHeaders.QUOTA);

  private final RetainedHeaders.Factory headers;

  /** Whether the head that was decoded last has been passed on, so that a request holds it. */
  private boolean headPassedOn = true;

  /** The largest buffer for a line seen so far, which the decoder keeps. */
  private int lineBufferBytes;

  /** Creates a decoder for one connection. */
  public RequestDecoder() {
    this(new RetainedHeaders.Factory(RETAINED_HEADERS));
  }

  private RequestDecoder(RetainedHeaders.Factory headers) {
    super(
        new HttpDecoderConfig()
            .setMaxInitialLineLength(MAX_REQUEST_LINE_BYTES)
            .setMaxHeaderSize(MAX_HEADER_BYTES)
            .setMaxChunkSize(MAX_CHUNK_BYTES)
            .setHeadersFactory(headers)
            .setTrailersFactory(new RetainedHeaders.Factory(List.of()))
            .setUseRfc9112TransferEncoding(true));
    this.headers = headers;
    setCumulator(CompactingCumulator.INSTANCE);
  }

  @Override
  protected HttpMessage createMessage(String[] initialLine) throws Exception {
    headPassedOn = false;
    return super.createMessage(initialLine);
  }

  @Override
  protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
    super.decode(ctx, in, out);
    headPassedOn |= !out.isEmpty();
  }

  @Override
  protected AsciiString splitHeaderName(byte[] line, int start, int length) {
    lineBufferBytes = Math.max(lineBufferBytes, line.length);
    return super.splitHeaderName(line, start, length);
  }

  @Override
  protected String splitFirstWordInitialLine(byte[] line, int start, int length) {
    lineBufferBytes = Math.max(lineBufferBytes, line.length);
    return super.splitFirstWordInitialLine(line, start, length);
  }

  /** Returns the memory of what has been received and not passed on yet. */
  int heldBytes() {
    int headBytes = headPassedOn ? 0 : headers.heldBytes();
    ByteBuf undecoded = internalBuffer();
    int undecodedBytes = undecoded.isReadable() ? undecoded.capacity() : 0;
    return lineBufferBytes + headBytes + undecodedBytes;
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
    return !headPassedOn || actualReadableBytes() > 0;
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
