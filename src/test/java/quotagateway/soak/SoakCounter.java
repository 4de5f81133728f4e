package quotagateway.soak;

import java.io.Closeable;
import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import quotagateway.testing.FakeCounter;

/** A fake shared counter that a step of the plan disrupts temporarily. */
final class SoakCounter implements Closeable {

  /** Exceeds the time limit of the gateways' calls to the counter. */
  private static final long REPLY_DELAY_MS = 120;

  /** How the counter replies to calls. */
  enum Mode {
    NORMAL,
    BUSY,
    DELAYED,
    MALFORMED,
    UNRESPONSIVE
  }

  private final FakeCounter server = new FakeCounter();
  private final CountDownLatch closed = new CountDownLatch(1);
  private volatile Mode mode = Mode.NORMAL;

  SoakCounter() {
    server.responder = this::replyTo;
  }

  int port() {
    return server.port();
  }

  void setMode(Mode newMode) {
    mode = newMode;
  }

  private String replyTo(String line) {
    server.calls.clear();
    server.unanswered.clear();
    switch (mode) {
      case BUSY:
        return "busy";
      case DELAYED:
        awaitOrClose(REPLY_DELAY_MS);
        return server.count(line);
      case MALFORMED:
        return "what?";
      case UNRESPONSIVE:
        return null;
      case NORMAL:
      default:
        return server.count(line);
    }
  }

  private void awaitOrClose(long ms) {
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
