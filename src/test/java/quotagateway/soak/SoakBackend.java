package quotagateway.soak;

import java.io.Closeable;
import java.io.IOException;
import java.io.OutputStream;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import quotagateway.testing.FakeBackend;
import quotagateway.testing.HttpMessage;
import quotagateway.testing.TextStreams;

/**
 * A fake backend. How it responds to an attempt is drawn from the seed, the backend's name, the
 * request's identifier and the number of events recorded for the request so far.
 */
final class SoakBackend implements Closeable {

  /** Exceeds the time that any client waits for a response. */
  private static final long HANG_MS = 3_000;

  private static final int MAX_SERVICE_MS = 30;

  /** Delay between a response and its second copy if the plan has late copies. */
  private static final long SECOND_COPY_DELAY_MS = 2;

  /** How the backend responds to an attempt. */
  private enum Behavior {
    ANSWER,
    ANSWER_IN_CHUNKS,
    ANSWER_IN_PIECES,
    ANSWER_TWICE,
    ANSWER_THEN_CLOSE,
    REJECT,
    FAIL,
    HANG,
    CLOSE,
    MALFORMED,
    CUT_OFF
  }

  private final String name;
  private final SoakPlan plan;
  private final History history;
  private final CountDownLatch closed = new CountDownLatch(1);
  private final FakeBackend server = new FakeBackend();

  SoakBackend(int number, SoakPlan plan, History history) {
    this.name = "backend-" + number;
    this.plan = plan;
    this.history = history;
    server.responder = this::respond;
  }

  int port() {
    return server.port();
  }

  private boolean respond(HttpMessage request, OutputStream out) throws IOException {
    server.received.clear();
    String id = request.header("Request-Id");
    int earlierEvents = history.eventsOf(id).size();
    SplittableRandom random = plan.newGenerator(name + id + earlierEvents);
    Behavior behavior = drawBehavior(random);
    boolean executed = behavior != Behavior.REJECT;
    history.recordEvent(
        id,
        executed ? HistoryEvent.Kind.EXECUTED : HistoryEvent.Kind.NOT_EXECUTED,
        name,
        behavior.toString());
    pause(random.nextInt(MAX_SERVICE_MS));
    return sendResponse(behavior, okResponse(id), out);
  }

  private Behavior drawBehavior(SplittableRandom random) {
    if (random.nextDouble() >= plan.backendFaultShare()) {
      return Behavior.ANSWER;
    }
    Behavior[] behaviors = Behavior.values();
    return behaviors[1 + random.nextInt(behaviors.length - 1)];
  }

  private static String okResponse(String id) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + id.length() + "\r\n\r\n" + id;
  }

  private boolean sendResponse(Behavior behavior, String response, OutputStream out)
      throws IOException {
    String id = response.substring(response.indexOf("\r\n\r\n") + 4);
    switch (behavior) {
      case ANSWER:
        return TextStreams.write(out, response);
      case ANSWER_IN_CHUNKS:
        return TextStreams.write(
            out,
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                + Integer.toHexString(id.length())
                + "\r\n"
                + id
                + "\r\n0\r\n\r\n");
      case ANSWER_IN_PIECES:
        for (int start = 0; start < response.length(); start += 20) {
          TextStreams.write(
              out, response.substring(start, Math.min(response.length(), start + 20)));
          pause(2);
        }
        return true;
      case ANSWER_TWICE:
        return plan.lateCopies()
            ? sendTwice(response, out)
            : TextStreams.write(out, response + response);
      case ANSWER_THEN_CLOSE:
        TextStreams.write(out, response);
        return false;
      case REJECT:
        return TextStreams.write(out, FakeBackend.NOT_STARTED_RESPONSE);
      case FAIL:
        return TextStreams.write(out, "HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n");
      case HANG:
        pause(HANG_MS);
        return false;
      case MALFORMED:
        TextStreams.write(out, "HTTP/1.1 2x0 OK\r\n\r\nno");
        return false;
      case CUT_OFF:
        TextStreams.write(out, response.substring(0, response.length() - 1));
        return false;
      case CLOSE:
      default:
        return false;
    }
  }

  private boolean sendTwice(String response, OutputStream out) throws IOException {
    TextStreams.write(out, response);
    pause(SECOND_COPY_DELAY_MS);
    return TextStreams.write(out, response);
  }

  /**
   * Waits for the given time.
   *
   * @throws IOException if the run ends before
   */
  private void pause(long ms) throws IOException {
    try {
      if (closed.await(ms, TimeUnit.MILLISECONDS)) {
        throw new IOException("the soak run has ended");
      }
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
