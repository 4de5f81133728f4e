package quotagateway.soak;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayDeque;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import quotagateway.testing.HttpMessage;
import quotagateway.testing.TextStreams;

/**
 * A client that sends requests one after another and reuses its connection until the gateway closes
 * it. At random, it writes requests in two parts, pipelines several requests, or disconnects
 * without waiting for responses.
 */
final class SoakClient implements Runnable {

  /** How long after its timeout a request may still get its response. */
  static final int RESPONSE_SLACK_MS = 550;

  private static final List<RequestKind> KINDS = List.of(RequestKind.values());
  private static final int MAX_THINK_TIME_MS = 60;
  private static final double LONG_PAUSE_SHARE = 0.01;
  private static final int LONG_PAUSE_MS = 2_500;
  private static final double SPLIT_WRITE_SHARE = 0.1;
  private static final double PIPELINED_SHARE = 0.06;
  private static final double DISCONNECT_SHARE = 0.05;
  private static final int MAX_PIPELINED = 4;

  /** One client out of this many sends requests for the customer with a hard limit. */
  private static final int CLIENTS_PER_HARD_LIMITED_CLIENT = 4;

  private static final int MAX_BODY_BYTES = 3_000;

  private final int number;
  private final SplittableRandom random;
  private final List<SoakGateway> gateways;
  private final History history;
  private final BooleanSupplier stopped;
  private final Customer customer;
  private int requestCount;

  SoakClient(
      int number,
      SplittableRandom random,
      List<SoakGateway> gateways,
      History history,
      BooleanSupplier stopped) {
    this.number = number;
    this.random = random;
    this.gateways = gateways;
    this.history = history;
    this.stopped = stopped;
    customer =
        number % CLIENTS_PER_HARD_LIMITED_CLIENT == 0 ? Customer.HARD_LIMITED : Customer.UNLIMITED;
  }

  @Override
  public void run() {
    try {
      while (!stopped.getAsBoolean()) {
        List<SoakGateway> accepting =
            gateways.stream().filter(SoakGateway::acceptsConnections).toList();
        if (accepting.isEmpty()) {
          TimeUnit.MILLISECONDS.sleep(10);
        } else {
          SoakGateway gateway = accepting.get(random.nextInt(accepting.size()));
          useConnection(gateway, gateways.indexOf(gateway));
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Opens a connection and sends requests on it until the connection ends or the run stops. */
  private void useConnection(SoakGateway gateway, int gatewayIndex) throws InterruptedException {
    try (Socket socket = new Socket(gateway.address().getAddress(), gateway.address().getPort())) {
      socket.setTcpNoDelay(true);
      Connection connection = new Connection(socket, gatewayIndex);
      while (!stopped.getAsBoolean() && connection.open) {
        connection.exchangeRequests();
        pauseBetweenRequests();
      }
    } catch (IOException e) {
      // The connection was refused, or closing it failed: pause before opening the next one.
      pauseBetweenRequests();
    }
  }

  private void pauseBetweenRequests() throws InterruptedException {
    boolean longPause = random.nextDouble() < LONG_PAUSE_SHARE;
    TimeUnit.MILLISECONDS.sleep(longPause ? LONG_PAUSE_MS : random.nextInt(MAX_THINK_TIME_MS));
  }

  /** Counts the bytes read, which tells whether a connection ended before or within a response. */
  private static final class CountingInputStream extends FilterInputStream {
    private long count;

    CountingInputStream(InputStream in) {
      super(in);
    }

    @Override
    public int read() throws IOException {
      int next = super.read();
      count += next < 0 ? 0 : 1;
      return next;
    }

    @Override
    public int read(byte[] buffer, int offset, int length) throws IOException {
      int read = super.read(buffer, offset, length);
      count += Math.max(0, read);
      return read;
    }
  }

  /** A connection to a gateway. */
  private final class Connection {
    private final Socket socket;
    private final CountingInputStream in;
    private final int gatewayIndex;
    private double idleSinceMs = history.nowMs();
    private boolean firstBatch = true;
    private boolean open = true;

    Connection(Socket socket, int gatewayIndex) throws IOException {
      this.socket = socket;
      this.gatewayIndex = gatewayIndex;
      in = new CountingInputStream(socket.getInputStream());
    }

    /** Sends one request or several pipelined ones, and reads their responses. */
    void exchangeRequests() {
      int count = random.nextDouble() < PIPELINED_SHARE ? 2 + random.nextInt(MAX_PIPELINED - 1) : 1;
      ArrayDeque<String> ids = new ArrayDeque<>();
      StringBuilder text = new StringBuilder();
      int timeoutMs = SoakGateway.DEADLINE_MS - random.nextInt(800);
      for (int i = 0; i < count; i++) {
        RequestKind kind = KINDS.get(random.nextInt(KINDS.size()));
        String id = "c" + number + "-" + requestCount++;
        ids.add(id);
        double idleMs = history.nowMs() - idleSinceMs;
        history.recordRequest(
            id, new History.Sent(kind, customer, gatewayIndex, timeoutMs, firstBatch, idleMs));
        String body = "b".repeat(random.nextInt(MAX_BODY_BYTES));
        text.append(kind.formatRequest(id, customer.headers(gateways.size()), timeoutMs, body));
      }
      try {
        if (random.nextDouble() < DISCONNECT_SHARE) {
          sendAndDisconnect(ids, text.toString());
        } else {
          sendAll(ids, text.toString());
          readResponses(ids, timeoutMs);
        }
      } catch (IOException e) {
        open = false;
      }
      firstBatch = false;
      idleSinceMs = history.nowMs();
    }

    private void sendAll(Iterable<String> ids, String text) throws IOException {
      try {
        if (random.nextDouble() < SPLIT_WRITE_SHARE) {
          int split = random.nextInt(text.length());
          TextStreams.write(socket.getOutputStream(), text.substring(0, split));
          TextStreams.write(socket.getOutputStream(), text.substring(split));
        } else {
          TextStreams.write(socket.getOutputStream(), text);
        }
      } catch (IOException e) {
        recordForAll(ids, HistoryEvent.Kind.ENDED_UNANSWERED, "write failed");
        throw e;
      }
      recordForAll(ids, HistoryEvent.Kind.SENT, "");
    }

    /** Closes the connection within the requests or after them. */
    private void sendAndDisconnect(Iterable<String> ids, String text) throws IOException {
      boolean complete = random.nextBoolean();
      TextStreams.write(
          socket.getOutputStream(),
          complete ? text : text.substring(0, random.nextInt(text.length())));
      recordForAll(
          ids,
          HistoryEvent.Kind.SENT,
          complete ? "disconnects after the request" : "disconnects within the request");
      pauseBeforeDisconnect();
      open = false;
      socket.close();
      recordForAll(ids, HistoryEvent.Kind.CLIENT_LEFT, "");
    }

    private void pauseBeforeDisconnect() {
      try {
        TimeUnit.MILLISECONDS.sleep(random.nextInt(20));
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }

    private void readResponses(ArrayDeque<String> ids, int timeoutMs) throws IOException {
      socket.setSoTimeout(timeoutMs + 2 * RESPONSE_SLACK_MS);
      long bytesBefore = 0;
      try {
        while (!ids.isEmpty()) {
          bytesBefore = in.count;
          HttpMessage response = HttpMessage.read(in);
          recordResponse(ids.poll(), response);
          if ("close".equalsIgnoreCase(response.header("Connection"))) {
            open = false;
            recordForAll(
                ids,
                HistoryEvent.Kind.ENDED_UNANSWERED,
                "pipelined after a response with Connection: close");
            return;
          }
        }
      } catch (SocketTimeoutException e) {
        open = false;
        recordForAll(ids, HistoryEvent.Kind.NO_RESPONSE, "");
      } catch (IOException e) {
        open = false;
        recordConnectionEnd(ids, in.count > bytesBefore, String.valueOf(e.getMessage()));
      }
    }

    private void recordResponse(String id, HttpMessage response) {
      boolean matches = response.status() != 200 || response.text().equals(id);
      history.recordEvent(
          id,
          matches ? HistoryEvent.Kind.ANSWERED : HistoryEvent.Kind.FOREIGN_RESPONSE,
          "client-" + number,
          response.status() + (matches ? "" : " " + response.text()));
    }

    /**
     * Records that the connection ended. Only the first of the outstanding requests can have
     * received part of its response.
     */
    private void recordConnectionEnd(
        ArrayDeque<String> ids, boolean withinResponse, String reason) {
      String id = ids.poll();
      history.recordEvent(
          id,
          withinResponse
              ? HistoryEvent.Kind.ENDED_WITHIN_RESPONSE
              : HistoryEvent.Kind.ENDED_UNANSWERED,
          "client-" + number,
          reason);
      recordForAll(
          ids,
          HistoryEvent.Kind.ENDED_UNANSWERED,
          "pipelined after a request without a complete response");
    }

    private void recordForAll(Iterable<String> ids, HistoryEvent.Kind kind, String detail) {
      for (String id : ids) {
        history.recordEvent(id, kind, "client-" + number, detail);
      }
    }
  }
}
