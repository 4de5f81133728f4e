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
 * A client that asks one request behind another and goes on using its connection for as long as the
 * gateway leaves it open. Some write in pieces, some send several requests at once, some leave.
 */
final class SoakClient implements Runnable {

  /** How long beyond its time a request may be answered, as the rules have it. */
  static final int SLACK_MS = 550;

  private static final List<RequestKind> KINDS = List.of(RequestKind.values());
  private static final int MAX_THINK_MS = 60;
  private static final double LONG_REST_SHARE = 0.01;
  private static final int LONG_REST_MS = 2_500;
  private static final double PIECES_SHARE = 0.1;
  private static final double PIPELINE_SHARE = 0.06;
  private static final double LEAVE_SHARE = 0.05;
  private static final int MAX_PIPELINED = 4;

  /** One client in so many asks for the customer with a hard limit. */
  private static final int HARD_LIMITED_DIVISOR = 4;

  private static final int MAX_BODY_BYTES = 3_000;

  private final int number;
  private final SplittableRandom random;
  private final List<SoakGateway> gateways;
  private final History history;
  private final BooleanSupplier stopped;
  private final Customer customer;
  private int requests;

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
    customer = number % HARD_LIMITED_DIVISOR == 0 ? Customer.HARD_LIMITED : Customer.UNLIMITED;
  }

  @Override
  public void run() {
    try {
      while (!stopped.getAsBoolean()) {
        List<SoakGateway> admitted = gateways.stream().filter(SoakGateway::isAdmitted).toList();
        if (admitted.isEmpty()) {
          TimeUnit.MILLISECONDS.sleep(10);
        } else {
          SoakGateway gateway = admitted.get(random.nextInt(admitted.size()));
          useConnection(gateway, gateways.indexOf(gateway));
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Asks on a connection until it ends. */
  private void useConnection(SoakGateway gateway, int gatewayNumber) throws InterruptedException {
    try (Socket socket = new Socket(gateway.address().getAddress(), gateway.address().getPort())) {
      socket.setTcpNoDelay(true);
      Connection connection = new Connection(socket, gatewayNumber);
      while (!stopped.getAsBoolean() && connection.open) {
        connection.ask();
        rest();
      }
    } catch (IOException e) {
      // It was refused, or its close failed: the next one is tried after a rest.
      rest();
    }
  }

  private void rest() throws InterruptedException {
    boolean restsLong = random.nextDouble() < LONG_REST_SHARE;
    TimeUnit.MILLISECONDS.sleep(restsLong ? LONG_REST_MS : random.nextInt(MAX_THINK_MS));
  }

  /** Counts what comes, so that the end of a connection shows how far a response had got. */
  private static final class CountingStream extends FilterInputStream {
    private long count;

    CountingStream(InputStream in) {
      super(in);
    }

    @Override
    public int read() throws IOException {
      int next = super.read();
      count += next < 0 ? 0 : 1;
      return next;
    }

    @Override
    public int read(byte[] bytes, int offset, int length) throws IOException {
      int read = super.read(bytes, offset, length);
      count += Math.max(0, read);
      return read;
    }
  }

  /** One connection. */
  private final class Connection {
    private final Socket socket;
    private final CountingStream in;
    private final int gateway;
    private double idleSinceMs = history.nowMs();
    private boolean first = true;
    private boolean open = true;

    Connection(Socket socket, int gateway) throws IOException {
      this.socket = socket;
      this.gateway = gateway;
      in = new CountingStream(socket.getInputStream());
    }

    /** Sends one request or several, and reads their responses. */
    void ask() {
      int count = random.nextDouble() < PIPELINE_SHARE ? 2 + random.nextInt(MAX_PIPELINED - 1) : 1;
      ArrayDeque<String> ids = new ArrayDeque<>();
      StringBuilder text = new StringBuilder();
      int timeoutMs = SoakGateway.DEADLINE_MS - random.nextInt(800);
      for (int i = 0; i < count; i++) {
        RequestKind kind = KINDS.get(random.nextInt(KINDS.size()));
        String id = "c" + number + "-" + requests++;
        ids.add(id);
        double idleMs = history.nowMs() - idleSinceMs;
        history.open(id, new History.Sent(kind, customer, gateway, timeoutMs, first, idleMs));
        String body = "b".repeat(random.nextInt(MAX_BODY_BYTES));
        text.append(kind.request(id, customer.headers(gateways.size()), timeoutMs, body));
      }
      try {
        if (random.nextDouble() < LEAVE_SHARE) {
          leave(ids, text.toString());
        } else {
          send(ids, text.toString());
          readResponses(ids, timeoutMs);
        }
      } catch (IOException e) {
        open = false;
      }
      first = false;
      idleSinceMs = history.nowMs();
    }

    private void send(Iterable<String> ids, String text) throws IOException {
      try {
        if (random.nextDouble() < PIECES_SHARE) {
          int middle = random.nextInt(text.length());
          TextStreams.write(socket.getOutputStream(), text.substring(0, middle));
          TextStreams.write(socket.getOutputStream(), text.substring(middle));
        } else {
          TextStreams.write(socket.getOutputStream(), text);
        }
      } catch (IOException e) {
        note(ids, HistoryEvent.Kind.ENDED_UNANSWERED, "write failed");
        throw e;
      }
      note(ids, HistoryEvent.Kind.SENT, "");
    }

    /** Closes the connection somewhere in the requests, or behind them. */
    private void leave(Iterable<String> ids, String text) throws IOException {
      boolean whole = random.nextBoolean();
      TextStreams.write(
          socket.getOutputStream(),
          whole ? text : text.substring(0, random.nextInt(text.length())));
      note(ids, HistoryEvent.Kind.SENT, whole ? "leaves behind it" : "leaves within it");
      pauseBeforeLeaving();
      open = false;
      socket.close();
      note(ids, HistoryEvent.Kind.CLIENT_LEFT, "");
    }

    private void pauseBeforeLeaving() {
      try {
        TimeUnit.MILLISECONDS.sleep(random.nextInt(20));
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }

    private void readResponses(ArrayDeque<String> ids, int timeoutMs) throws IOException {
      socket.setSoTimeout(timeoutMs + 2 * SLACK_MS);
      long before = 0;
      try {
        while (!ids.isEmpty()) {
          before = in.count;
          HttpMessage response = HttpMessage.read(in);
          noteResponse(ids.poll(), response);
          if ("close".equalsIgnoreCase(response.header("Connection"))) {
            open = false;
            note(ids, HistoryEvent.Kind.ENDED_UNANSWERED, "behind a last response");
            return;
          }
        }
      } catch (SocketTimeoutException e) {
        open = false;
        note(ids, HistoryEvent.Kind.NO_RESPONSE, "");
      } catch (IOException e) {
        open = false;
        noteEnd(ids, in.count > before, String.valueOf(e.getMessage()));
      }
    }

    private void noteResponse(String id, HttpMessage response) {
      boolean own = response.status() != 200 || response.text().equals(id);
      history.add(
          id,
          own ? HistoryEvent.Kind.ANSWERED : HistoryEvent.Kind.FOREIGN_RESPONSE,
          "client-" + number,
          response.status() + (own ? "" : " " + response.text()));
    }

    /** The first of the requests may have part of its response; the others have nothing. */
    private void noteEnd(ArrayDeque<String> ids, boolean withinResponse, String reason) {
      String id = ids.poll();
      history.add(
          id,
          withinResponse
              ? HistoryEvent.Kind.ENDED_WITHIN_RESPONSE
              : HistoryEvent.Kind.ENDED_UNANSWERED,
          "client-" + number,
          reason);
      note(ids, HistoryEvent.Kind.ENDED_UNANSWERED, "behind another");
    }

    private void note(Iterable<String> ids, HistoryEvent.Kind kind, String detail) {
      for (String id : ids) {
        history.add(id, kind, "client-" + number, detail);
      }
    }
  }
}
