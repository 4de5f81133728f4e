package quotagateway.client;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Decodes clients' requests, for one connection; what two readers could frame differently is
 * malformed here.
 */
public final class RequestDecoder extends HttpRequestDecoder {

  private static final int MAX_REQUEST_LINE_BYTES = 8_192;
  private static final int MAX_HEADER_BYTES = 16_384;

  /** The largest piece of a body that is passed on at once. */
  private static final int MAX_PIECE_BYTES = 64 * 1024;

  /** A decoder for one connection. */
  public RequestDecoder() {
    super(
        new HttpDecoderConfig()
            .setMaxInitialLineLength(MAX_REQUEST_LINE_BYTES)
            .setMaxHeaderSize(MAX_HEADER_BYTES)
            .setMaxChunkSize(MAX_PIECE_BYTES)
            .setUseRfc9112TransferEncoding(true));
  }

  /**
   * Prevents request smuggling: whoever goes by the length sees another request in what is a body
   * here.
   */
  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException("Content-Length with Transfer-Encoding");
  }

  /** Whether part of a further request has been read. */
  boolean hasMoreBytes() {
    return actualReadableBytes() > 0;
  }
}
