package quotagateway.testing;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/**
 * An HTTP request or response as received from the connection.
 *
 * @param head the first line and the headers, each with its line terminator
 * @param body the body without chunk framing; an array is acceptable because messages are never
 *     compared
 */
@SuppressWarnings("ArrayRecordComponent")
public record HttpMessage(String head, byte[] body) {

  private static final byte[] NO_BODY = {};

  /**
   * Reads one message.
   *
   * @throws EOFException if the connection ends before the message is complete
   */
  public static HttpMessage read(InputStream in) throws IOException {
    HttpMessage headOnly = new HttpMessage(readHead(in), NO_BODY);
    if ("chunked".equals(headOnly.header("Transfer-Encoding"))) {
      return new HttpMessage(headOnly.head(), readChunks(in));
    }
    String length = headOnly.header("Content-Length");
    if (length == null) {
      return headOnly;
    }
    return new HttpMessage(headOnly.head(), readBody(in, Integer.parseInt(length)));
  }

  private static String readHead(InputStream in) throws IOException {
    StringBuilder head = new StringBuilder();
    String line = TextStreams.readLine(in);
    while (!line.isEmpty()) {
      head.append(line).append("\r\n");
      line = TextStreams.readLine(in);
    }
    return head.toString();
  }

  private static byte[] readBody(InputStream in, int length) throws IOException {
    byte[] body = in.readNBytes(length);
    if (body.length < length) {
      throw new EOFException("body is truncated");
    }
    return body;
  }

  private static byte[] readChunks(InputStream in) throws IOException {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    int size = readChunkSize(in);
    while (size > 0) {
      byte[] chunk = in.readNBytes(size);
      if (chunk.length < size || !TextStreams.readLine(in).isEmpty()) {
        throw new EOFException("chunk is truncated");
      }
      body.write(chunk);
      size = readChunkSize(in);
    }
    while (!TextStreams.readLine(in).isEmpty()) {
      // Skips a trailer field.
    }
    return body.toByteArray();
  }

  private static int readChunkSize(InputStream in) throws IOException {
    return Integer.parseInt(TextStreams.readLine(in), 16);
  }

  /** Returns the request line or status line. */
  public String firstLine() {
    return head.substring(0, head.indexOf("\r\n"));
  }

  /** Returns the status code of a response. */
  public int status() {
    return Integer.parseInt(head.split(" ", 3)[1]);
  }

  /** Returns the value of the first header with this name, or null if there is none. */
  public String header(String name) {
    String prefix = name.toLowerCase(Locale.ROOT) + ":";
    return head.lines()
        .filter(line -> line.toLowerCase(Locale.ROOT).startsWith(prefix))
        .map(line -> line.substring(name.length() + 1).trim())
        .findFirst()
        .orElse(null);
  }

  /** Returns the body decoded as ISO-8859-1. */
  public String text() {
    return new String(body, StandardCharsets.ISO_8859_1);
  }
}
