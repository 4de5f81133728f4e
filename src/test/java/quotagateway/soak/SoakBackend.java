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

/** A backend that answers each attempt as its seed has it for that request and attempt. */
final class SoakBackend implements Closeable {

  /** Longer than any client waits. */
  private static final long HANG_MS = 3_000;

  private static final int MAX_SERVICE_MS = 30;

  /** Between a response and its second copy, where that comes late. */
  private static final long COPY_DELAY_MS = 2;

  /** How an attempt is met. */
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
    int attempt = history.of(id).size();
    SplittableRandom random = plan.generator(name + id + attempt);
    Behavior behavior = draw(random);
    boolean executes = behavior != Behavior.REJECT;
    history.add(
        id,
        executes ? HistoryEvent.Kind.EXECUTED : HistoryEvent.Kind.NOT_EXECUTED,
        name,
        behavior.toString());
    pause(random.nextInt(MAX_SERVICE_MS));
    return answer(behavior, ok(id), out);
  }

  private Behavior draw(SplittableRandom random) {
    if (random.nextDouble() >= plan.backendFaultShare()) {
      return Behavior.ANSWER;
    }
    Behavior[] all = Behavior.values();
    return all[1 + random.nextInt(all.length - 1)];
  }

  private static String ok(String id) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + id.length() + "\r\n\r\n" + id;
  }

  private boolean answer(Behavior behavior, String ok, OutputStream out) throws IOException {
    String id = ok.substring(ok.indexOf("\r\n\r\n") + 4);
    switch (behavior) {
      case ANSWER:
        return TextStreams.write(out, ok);
      case ANSWER_IN_CHUNKS:
        return TextStreams.write(
            out,
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                + Integer.toHexString(id.length())
                + "\r\n"
                + id
                + "\r\n0\r\n\r\n");
      case ANSWER_IN_PIECES:
        for (int at = 0; at < ok.length(); at += 20) {
          TextStreams.write(out, ok.substring(at, Math.min(ok.length(), at + 20)));
          pause(2);
        }
        return true;
      case ANSWER_TWICE:
        return plan.lateCopies() ? answerTwice(ok, out) : TextStreams.write(out, ok + ok);
      case ANSWER_THEN_CLOSE:
        TextStreams.write(out, ok);
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
        TextStreams.write(out, ok.substring(0, ok.length() - 1));
        return false;
      case CLOSE:
      default:
        return false;
    }
  }

  private boolean answerTwice(String ok, OutputStream out) throws IOException {
    TextStreams.write(out, ok);
    pause(COPY_DELAY_MS);
    return TextStreams.write(out, ok);
  }

  /** Waits for the time, or until the run is over. */
  private void pause(long ms) throws IOException {
    try {
      if (closed.await(ms, TimeUnit.MILLISECONDS)) {
        throw new IOException("the run is over");
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
