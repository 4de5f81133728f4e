package quotagateway.scale;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.SynchronizedHistogram;

/**
 * Asks a gateway for /up all the time on one connection: how long its loop holds shows in the
 * answers.
 */
final class LoopPing implements Closeable {

  /** Between an answer and the next question: the pings themselves must cost next to nothing. */
  private static final long PAUSE_NANOS = 1_000_000;

  private static final int TIMEOUT_MS = 30_000;
  private static final long LONGEST_MICROS = 60_000_000;
  private static final byte[] REQUEST =
      "GET /up HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

  private final InetSocketAddress address;
  private final Histogram micros = new SynchronizedHistogram(LONGEST_MICROS, 3);
  private final AtomicLong yes = new AtomicLong();
  private volatile boolean closed;

  LoopPing(InetSocketAddress address) {
    this.address = address;
    Thread thread = new Thread(this::work, "loop ping");
    thread.setDaemon(true);
    thread.start();
  }

  /** How often the answer was 200. */
  long yes() {
    return yes.get();
  }

  /** Forgets the times until now. */
  void reset() {
    micros.reset();
  }

  double longestMs() {
    return micros.getMaxValue() / 1000.0;
  }

  double percentileMs(double percentile) {
    return micros.getValueAtPercentile(percentile) / 1000.0;
  }

  @Override
  public void close() {
    closed = true;
  }

  private void work() {
    while (!closed) {
      try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
        socket.setSoTimeout(TIMEOUT_MS);
        socket.setTcpNoDelay(true);
        ask(socket);
      } catch (IOException e) {
        Thread.onSpinWait();
      }
    }
  }

  private void ask(Socket socket) throws IOException {
    InputStream in = socket.getInputStream();
    byte[] buffer = new byte[4096];
    while (!closed) {
      long from = System.nanoTime();
      socket.getOutputStream().write(REQUEST);
      int read = in.read(buffer);
      if (read < 0) {
        return;
      }
      micros.recordValue(Math.min(LONGEST_MICROS, (System.nanoTime() - from) / 1000));
      if (new String(buffer, 0, read, StandardCharsets.US_ASCII).startsWith("HTTP/1.1 200")) {
        yes.incrementAndGet();
      }
      LockSupport.parkNanos(PAUSE_NANOS);
    }
  }
}
