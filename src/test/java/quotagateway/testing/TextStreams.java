package quotagateway.testing;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;

/** Text on the streams of a socket, a byte for each character. */
public final class TextStreams {

  private TextStreams() {}

  /**
   * Writes text and flushes it.
   *
   * @return true, for a {@link FakeBackend.Responder} that keeps its connection
   */
  public static boolean write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
    return true;
  }

  /** Reads up to the next line feed; gives the line without its end. */
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
