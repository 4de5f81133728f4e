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
 * Probes a gateway with repeated GET /up requests on one connection; the response times show how
 * long the event loop stalls.
 */
final class LoopLatencyProbe implements Closeable {

  /** Pause between a response and the next request, which keeps the cost of probing negligible. */
  private static final long INTERVAL_NANOS = 1_000_000;

  private static final int TIMEOUT_MS = 30_000;
  private static final long MAX_MICROS = 60_000_000;
  private static final byte[] REQUEST =
      "GET /up HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

  private final InetSocketAddress address;
  private final Histogram micros = new SynchronizedHistogram(MAX_MICROS, 3);
  private final AtomicLong okResponses = new AtomicLong();
  private volatile boolean closed;

  LoopLatencyProbe(InetSocketAddress address) {
    this.address = address;
    Thread thread = new Thread(this::run, "loop latency probe");
    thread.setDaemon(true);
    thread.start();
  }

  /** Returns the number of responses with status 200. */
  long okResponses() {
    return okResponses.get();
  }

  /** Discards the response times recorded so far. */
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

  private void run() {
    while (!closed) {
      try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
        socket.setSoTimeout(TIMEOUT_MS);
        socket.setTcpNoDelay(true);
        probe(socket);
      } catch (IOException e) {
        Thread.onSpinWait();
      }
    }
  }

  private void probe(Socket socket) throws IOException {
    InputStream in = socket.getInputStream();
    byte[] buffer = new byte[4096];
    while (!closed) {
      long startNanos = System.nanoTime();
      socket.getOutputStream().write(REQUEST);
      int length = in.read(buffer);
      if (length < 0) {
        return;
      }
      micros.recordValue(Math.min(MAX_MICROS, (System.nanoTime() - startNanos) / 1000));
      if (new String(buffer, 0, length, StandardCharsets.US_ASCII).startsWith("HTTP/1.1 200")) {
        okResponses.incrementAndGet();
      }
      LockSupport.parkNanos(INTERVAL_NANOS);
    }
  }
}
