package quotagateway.testing;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;

/** Reads and writes text on socket streams in ISO-8859-1. */
public final class TextStreams {

  private TextStreams() {}

  /**
   * Writes text and flushes the stream.
   *
   * @return true, so that a {@link FakeBackend.Responder} can return the result to keep its
   *     connection open
   */
  public static boolean write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
    return true;
  }

  /** Reads a line and returns it without its line terminator. */
  static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    int next = in.read();
    while (next != '\n') {
      if (next < 0) {
        throw new EOFException();
      }
      if (next != '\r') {
        bytes.write(next);
      }
      next = in.read();
    }
    return bytes.toString(StandardCharsets.ISO_8859_1);
  }
}
