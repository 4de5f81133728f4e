package quotagateway.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import quotagateway.testing.PausableChannel;
import quotagateway.testing.TestRequests;

/**
 * Tests a pause in the middle of a response, of any length that the request's time of 3 s has room
 * for, on the path of requests without sockets and with a clock that the test advances.
 */
@Timeout(60)
class PausedResponseTest {

  private static final int TIMEOUT_MS = 3_000;

  /** Pauses around the bounds of stalls, of withheld bodies and of the deadline. */
  private static final int[] PAUSES_MS = {
    100, 249, 250, 251, 400, 499, 501, 900, 1_250, 1_499, 1_501, 1_750, 2_000, 2_300, 2_500, 2_700
  };

  /** Pauses that leave no time for the same pause at a second attempt. */
  private static final int[] LATE_PAUSES_MS = {2_800, 2_900, 2_950};

  private static final String BODY = "x".repeat(2_000);

  private enum Framing {
    LENGTH("Content-Length: 2000", BODY.substring(0, 1_000), BODY.substring(1_000), ""),
    CHUNKED(
        "Transfer-Encoding: chunked",
        "3e8\r\n" + BODY.substring(0, 1_000) + "\r\n",
        "3e8\r\n" + BODY.substring(1_000) + "\r\n",
        "0\r\n\r\n"),
    CHUNKED_HEAD_FIRST("Transfer-Encoding: chunked", "", "7d0\r\n" + BODY + "\r\n", "0\r\n\r\n");

    private final String begin;
    private final String rest;

    Framing(String header, String first, String second, String end) {
      begin = "HTTP/1.1 200 OK\r\n" + header + "\r\n\r\n" + first;
      rest = second + end;
    }
  }

  /** Serves one request after the other, each attempt with the same pause. */
  private static final class Play implements AutoCloseable {
    private final EmbeddedGateway gateway;
    private int requests;

    Play() throws Exception {
      gateway = new EmbeddedGateway();
    }

    String exchange(String request, Framing framing, int pauseMs) {
      PausableChannel client = gateway.connectClient();
      int firstConnection = gateway.backends.size();
      EmbeddedGateway.send(client, request);
      List<Integer> begunAtMs = new ArrayList<>();
      StringBuilder answer = new StringBuilder();
      for (int ms = 0; ms < TIMEOUT_MS + 600; ms++) {
        for (int i = 0; i < gateway.backends.size() - firstConnection; i++) {
          PausableChannel backend = gateway.backends.get(firstConnection + i);
          if (begunAtMs.size() == i) {
            begunAtMs.add(ms);
            EmbeddedGateway.send(backend, framing.begin);
          }
          if (ms == begunAtMs.get(i) + pauseMs && backend.isActive()) {
            EmbeddedGateway.send(backend, framing.rest);
          }
        }
        gateway.advance(1);
        answer.append(client.readAllOutbound());
      }
      gateway.backends.forEach(PausableChannel::close);
      client.close();
      return answer.toString();
    }

    String get(Framing framing, int pauseMs) {
      return exchange(TestRequests.get("g" + requests++, TIMEOUT_MS), framing, pauseMs);
    }

    String keyed(Framing framing, int pauseMs) {
      return exchange(TestRequests.post("k" + requests++, ""), framing, pauseMs);
    }

    @Override
    public void close() throws IOException {
      gateway.close();
    }
  }

  private static void assertServed(String answer, Framing framing, int pauseMs) {
    assertTrue(answer.startsWith("HTTP/1.1 200"), framing + " " + pauseMs + ": " + answer);
    int bytes = (int) answer.chars().filter(character -> character == 'x').count();
    assertEquals(BODY.length(), bytes, framing + " " + pauseMs);
  }

  @ParameterizedTest
  @EnumSource(Framing.class)
  void anyPauseThatTheDeadlineHasRoomForIsAwaited(Framing framing) throws Exception {
    for (int[] pauses : new int[][] {PAUSES_MS, LATE_PAUSES_MS}) {
      for (int pauseMs : pauses) {
        try (Play idempotent = new Play();
            Play keyed = new Play()) {
          assertServed(idempotent.get(framing, pauseMs), framing, pauseMs);
          assertServed(keyed.keyed(framing, pauseMs), framing, pauseMs);
        }
      }
    }
  }

  /** The backend was prompt before, so that a first stall may be given up for another attempt. */
  @ParameterizedTest
  @EnumSource(Framing.class)
  void pauseThatFollowsPromptResponsesIsServedAsWell(Framing framing) throws Exception {
    for (int pauseMs : PAUSES_MS) {
      try (Play play = new Play()) {
        assertServed(play.get(framing, 5), framing, 5);
        assertServed(play.get(framing, pauseMs), framing, pauseMs);
      }
    }
  }
}
