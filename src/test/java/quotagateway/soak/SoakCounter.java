package quotagateway.soak;

import java.io.Closeable;
import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import quotagateway.testing.FakeCounter;

/** The shared counter, which a step of the plan disturbs for a while. */
final class SoakCounter implements Closeable {

  /** Longer than a call may take. */
  private static final long LATE_MS = 120;

  /** How calls are replied to. */
  enum Mode {
    COUNTS,
    REJECTS,
    LATE,
    MALFORMED,
    SILENT
  }

  private final FakeCounter server = new FakeCounter();
  private final CountDownLatch closed = new CountDownLatch(1);
  private volatile Mode mode = Mode.COUNTS;

  SoakCounter() {
    server.replies = this::reply;
  }

  int port() {
    return server.port();
  }

  void become(Mode next) {
    mode = next;
  }

  private String reply(String line) {
    server.calls.clear();
    server.unanswered.clear();
    switch (mode) {
      case REJECTS:
        return "busy";
      case LATE:
        await(LATE_MS);
        return server.count(line);
      case MALFORMED:
        return "what?";
      case SILENT:
        return null;
      case COUNTS:
      default:
        return server.count(line);
    }
  }

  private void await(long ms) {
    try {
      closed.await(ms, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() throws IOException {
    closed.countDown();
    server.close();
  }
}
