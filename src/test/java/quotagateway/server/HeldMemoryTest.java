package quotagateway.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import quotagateway.testing.PausableChannel;
import quotagateway.testing.TestRequests;

/**
 * Tests how much memory the gateway holds for slow peers, counted by the capacity of the buffers.
 */
@Timeout(30)
class HeldMemoryTest {

  /** Most memory of one streamed body or response, and of one response that is held whole. */
  private static final int MAX_HELD_BYTES = 64 * 1024;

  private static final int READ_BUFFER_BYTES = 16 * 1024;
  private static final int PIECES = 2_000;

  /** The head, bytes and end of two chunks, and some more. */
  private static final int MAX_WAITING_BUFFERS = 8;

  private static final int SMALL_MEMORY_MB = 8;

  /** An eighth of the memory is for what passes between clients and backends. */
  private static final int SMALL_BUFFER_BYTES = SMALL_MEMORY_MB * 1024 * 1024 / 8;

  private static final String SMALL_LIMITS =
      "{\"cores\":1,\"memory_mb\":" + SMALL_MEMORY_MB + ",\"sockets\":1024}";
  private static final int LARGE_BYTES = 100_000;

  private EmbeddedGateway gateway;
  private final List<ByteBuf> readBuffers = new ArrayList<>();

  /** How much of its response each backend has sent. */
  private final Map<PausableChannel, Integer> sentBytes = new HashMap<>();

  @BeforeEach
  void start() throws Exception {
    gateway = new EmbeddedGateway();
  }

  private void restart(String limits) throws Exception {
    gateway.close();
    gateway = new EmbeddedGateway(limits);
  }

  @AfterEach
  void close() throws Exception {
    gateway.close();
  }

  /** Sends pieces for as long as the gateway reads them, each in a read buffer of its own. */
  private void sendPieces(PausableChannel peer, String piece) {
    for (int i = 0; i < PIECES && peer.config().isAutoRead(); i++) {
      readBuffers.add(EmbeddedGateway.sendInBuffer(peer, piece, READ_BUFFER_BYTES));
    }
  }

  private long heldReadBufferBytes() {
    return readBuffers.stream().filter(b -> b.refCnt() > 0).mapToLong(ByteBuf::capacity).sum();
  }

  private void assertHeldWithinLimit(PausableChannel output) throws Exception {
    long heldBytes = Math.max(heldReadBufferBytes(), output.waitingCapacity());
    assertTrue(heldBytes <= MAX_HELD_BYTES, heldBytes + " bytes are held");
  }

  private PausableChannel startUnreadStream(String framing) {
    PausableChannel client = gateway.connectClient();
    EmbeddedGateway.send(client, TestRequests.get("r1", 3000));
    PausableChannel backend = gateway.backends.get(0);
    client.pause();
    EmbeddedGateway.send(backend, "HTTP/1.1 200 OK\r\n" + framing + "\r\n\r\n");
    return client;
  }

  /**
   * A backend writes a large response in small pieces to a client that reads slowly. Each waiting
   * piece kept the whole buffer of its read, but counted for its own bytes only, so that some
   * hundred streams filled the direct memory and the event loop stood still.
   */
  @ParameterizedTest
  @ValueSource(ints = {1, 200, 9_000})
  void smallPiecesOfUnreadResponseDoNotHoldTheirReadBuffers(int pieceBytes) throws Exception {
    PausableChannel client = startUnreadStream("Content-Length: 30000000");
    sendPieces(gateway.backends.get(0), "x".repeat(pieceBytes));
    assertHeldWithinLimit(client);
    client.resume();
    assertTrue(gateway.backends.get(0).config().isAutoRead());
  }

  /**
   * One read of a chunked response may contain thousands of chunks. Each waited by itself, with an
   * entry of the queue and a buffer for its head, many times the size of the chunk.
   */
  @Test
  void tinyChunksOfUnreadResponseWaitInFewBuffers() throws Exception {
    PausableChannel client = startUnreadStream("Transfer-Encoding: chunked");
    client.resume();
    PausableChannel backend = gateway.backends.get(0);
    String largeChunk = "fffe\r\n" + "x".repeat(0xfffe) + "\r\n";
    EmbeddedGateway.send(backend, largeChunk + largeChunk);
    client.pause();
    sendPieces(backend, "1\r\nx\r\n".repeat(READ_BUFFER_BYTES / 6));
    assertHeldWithinLimit(client);
    assertTrue(client.waitingBuffers() <= MAX_WAITING_BUFFERS, client.waitingBuffers() + " wait");
    client.resume();
    EmbeddedGateway.send(backend, "0\r\n\r\n");
    assertTrue(client.readAllOutbound().endsWith("0\r\n\r\n"));
  }

  /** The same on the way to a backend that takes a large body slowly. */
  @ParameterizedTest
  @ValueSource(ints = {1, 200, 9_000})
  void smallPiecesOfUntakenBodyDoNotHoldTheirReadBuffers(int pieceBytes) throws Exception {
    PausableChannel client = gateway.connectClient();
    String head = TestRequests.post("r1", "").replace("Length: 0", "Length: 30000000");
    EmbeddedGateway.send(client, head);
    PausableChannel backend = gateway.backends.get(0);
    backend.pause();
    sendPieces(client, "x".repeat(pieceBytes));
    assertHeldWithinLimit(backend);
    backend.resume();
    assertTrue(client.config().isAutoRead());
  }

  /**
   * A client sends many requests at once and reads slowly. The gateway answered all of them, and
   * held every response in memory.
   */
  @Test
  void nextPipelinedRequestWaitsUntilItsClientHasTakenTheResponse() throws Exception {
    PausableChannel client = gateway.connectClient();
    client.pause();
    StringBuilder requests = new StringBuilder();
    for (int i = 0; i < 16; i++) {
      requests.append(TestRequests.get("r" + i, 3000));
    }
    EmbeddedGateway.send(client, requests.toString());
    String body = "x".repeat(60_000);
    for (int i = 0; i < 16; i++) {
      respondToAll(body);
      client.runPendingTasks();
      gateway.advance(5);
    }
    assertHeldWithinLimit(client);
    int responses = 0;
    client.resume();
    for (int i = 0; i < 40; i++) {
      responses += client.readAllOutbound().split("HTTP/1.1 200", -1).length - 1;
      gateway.advance(5);
      respondToAll(body);
    }
    assertEquals(16, responses);
  }

  private void respondToAll(String body) {
    for (PausableChannel backend : List.copyOf(gateway.backends)) {
      if (backend.isActive() && backend.releaseOutbound()) {
        EmbeddedGateway.send(
            backend, "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
      }
    }
  }

  /**
   * The first bytes of a head may arrive alone in a large read buffer, and so may the first bytes
   * of a request behind another one. Many clients that stop there held a read buffer each.
   */
  @Test
  void partOfHeadDoesNotHoldItsReadBuffer() {
    PausableChannel client = gateway.connectClient();
    ByteBuf first = EmbeddedGateway.sendInBuffer(client, "GET /quo", READ_BUFFER_BYTES);
    assertEquals(0, first.refCnt());
    PausableChannel other = gateway.connectClient();
    String body = "x".repeat(READ_BUFFER_BYTES - 1_000);
    ByteBuf second =
        EmbeddedGateway.sendInBuffer(
            other, TestRequests.post("r1", body) + "GET /quo", READ_BUFFER_BYTES);
    assertEquals(0, second.refCnt());
    EmbeddedGateway.send(gateway.backends.get(0), "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    EmbeddedGateway.send(other, TestRequests.get("r2", 3000).substring("GET /quo".length()));
    assertFalse(other.readAllOutbound().isEmpty());
    gateway.advance(5);
    assertTrue(gateway.path.driver().isActive("r2"), "the rest of the head was not joined to it");
  }

  /** Starts requests of several clients, of which no backend has answered any. */
  private List<PausableChannel> startRequests(int count) {
    List<PausableChannel> clients = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      PausableChannel client = gateway.connectClient();
      EmbeddedGateway.send(client, TestRequests.get("r" + i, 3000));
      clients.add(client);
    }
    assertEquals(count, gateway.backends.size(), "every request has an attempt");
    return clients;
  }

  private static long totalWaitingCapacity(List<PausableChannel> channels) throws Exception {
    long total = 0;
    for (PausableChannel channel : channels) {
      total += channel.waitingCapacity();
    }
    return total;
  }

  /** Sends a response, or more of it, for as long as the gateway reads it. */
  private void sendWhileRead(PausableChannel backend, String response) {
    int sent = sentBytes.getOrDefault(backend, 0);
    while (sent < response.length() && backend.config().isAutoRead()) {
      int end = Math.min(response.length(), sent + READ_BUFFER_BYTES);
      EmbeddedGateway.send(backend, response.substring(sent, end));
      sent = end;
    }
    sentBytes.put(backend, sent);
  }

  private static int bodyBytes(PausableChannel client) {
    String received = client.readAllOutbound();
    return received.length() - received.indexOf("\r\n\r\n") - 4;
  }

  /**
   * All requests are accepted before the first response comes. The number of streamed responses was
   * checked only when a request came, and a response whose backend had sent all of it was no longer
   * counted, though its client had not taken the end. So slow clients could hold any amount.
   */
  @Test
  void slowClientsOfStreamedResponsesTogetherHoldNoMoreThanTheLimit() throws Exception {
    restart(SMALL_LIMITS);
    List<PausableChannel> clients = startRequests(40);
    clients.forEach(PausableChannel::pause);
    String response =
        "HTTP/1.1 200 OK\r\nContent-Length: " + LARGE_BYTES + "\r\n\r\n" + "x".repeat(LARGE_BYTES);
    gateway.backends.forEach(backend -> sendWhileRead(backend, response));
    long heldBytes = totalWaitingCapacity(clients);
    assertTrue(heldBytes <= SMALL_BUFFER_BYTES, heldBytes + " bytes are held");
    long waiting = gateway.backends.stream().filter(b -> !b.config().isAutoRead()).count();
    assertEquals(40, waiting, "responses that are not read on");
    clients.forEach(PausableChannel::resume);
    for (int i = 0; i < clients.size(); i++) {
      gateway.backends.forEach(backend -> sendWhileRead(backend, response));
    }
    for (PausableChannel client : clients) {
      assertEquals(LARGE_BYTES, bodyBytes(client));
    }
  }

  /**
   * Many responses that fit into the buffer lack their last byte. Nothing limited their sum. Those
   * that find no room are streamed, or not read on until there is room.
   */
  @Test
  void incompleteResponsesTogetherHoldNoMoreThanTheLimit() throws Exception {
    restart(SMALL_LIMITS);
    List<PausableChannel> clients = startRequests(40);
    String response = "HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n" + "x".repeat(60_000);
    String incomplete = response.substring(0, response.length() - 1);
    gateway.backends.forEach(backend -> sendWhileRead(backend, incomplete));
    long sent = sentBytes.values().stream().mapToLong(Integer::longValue).sum();
    Map<PausableChannel, Integer> received = new HashMap<>();
    clients.forEach(client -> received.put(client, client.readAllOutbound().length()));
    long heldBytes = sent - received.values().stream().mapToLong(Integer::longValue).sum();
    assertTrue(heldBytes <= SMALL_BUFFER_BYTES, heldBytes + " bytes are held");
    for (int i = 0; i < clients.size(); i++) {
      gateway.backends.forEach(backend -> sendWhileRead(backend, response));
    }
    for (PausableChannel client : clients) {
      received.merge(client, client.readAllOutbound().length(), Integer::sum);
      assertTrue(received.get(client) > 60_000, received.get(client) + " bytes of a response");
    }
  }

  /**
   * All requests are accepted before the first response comes, and no client reads. The responses
   * that no socket took were held whatever their sum. Now each may hold one read beyond the limit.
   */
  @Test
  void unreadResponsesTogetherHoldNoMoreThanTheLimit() throws Exception {
    restart(SMALL_LIMITS);
    List<PausableChannel> clients = startRequests(60);
    clients.forEach(PausableChannel::pause);
    String response = "HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n" + "x".repeat(60_000);
    gateway.backends.forEach(backend -> sendWhileRead(backend, response));
    long heldBytes = totalWaitingCapacity(clients);
    long limitBytes = SMALL_BUFFER_BYTES + (long) clients.size() * READ_BUFFER_BYTES;
    assertTrue(heldBytes <= limitBytes, heldBytes + " bytes are held");
    clients.forEach(PausableChannel::resume);
    for (int i = 0; i < clients.size(); i++) {
      gateway.backends.forEach(backend -> sendWhileRead(backend, response));
    }
    for (PausableChannel client : clients) {
      assertEquals(60_000, bodyBytes(client));
    }
  }

  /**
   * Slow clients that send several requests at once may hold what streams leave unused, and do not
   * cause rejections of other clients before that.
   */
  @Test
  void unreadResponsesOfSomeClientsLeaveRoomForOthers() throws Exception {
    restart(SMALL_LIMITS);
    List<PausableChannel> slowClients = startRequests(10);
    slowClients.forEach(PausableChannel::pause);
    String response = "HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n" + "x".repeat(60_000);
    gateway.backends.forEach(backend -> sendWhileRead(backend, response));
    PausableChannel client = gateway.connectClient();
    EmbeddedGateway.send(client, TestRequests.get("other", 3000));
    assertTrue(gateway.path.driver().isActive("other"), client.readAllOutbound());
  }

  /**
   * Others hold all the memory of requests. A request that was read behind an open one was dropped
   * with the end of its connection, though its client holds little.
   */
  @Test
  void smallPipelinedRequestIsAnsweredWhenMemoryIsExhausted() throws Exception {
    restart(SMALL_LIMITS);
    PausableChannel client = startRequests(1).get(0);
    String head = TestRequests.post("half", "").replace("Length: 0", "Length: 60000");
    for (int i = 0; i < 12; i++) {
      EmbeddedGateway.send(gateway.connectClient(), head + "x".repeat(50_000));
    }
    EmbeddedGateway.send(client, TestRequests.get("second", 3000));
    EmbeddedGateway.send(gateway.backends.get(0), "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    gateway.advance(5);
    String answers = client.readAllOutbound();
    assertTrue(answers.startsWith("HTTP/1.1 200"), answers);
    assertTrue(answers.contains("HTTP/1.1 503"), answers);
  }

  /** A request whose response finds no memory in its time is answered all the same. */
  @Test
  void requestIsAnsweredInTimeWhenItsResponseFindsNoMemory() throws Exception {
    restart(SMALL_LIMITS);
    List<PausableChannel> clients = startRequests(40);
    clients.forEach(PausableChannel::pause);
    String head = "HTTP/1.1 200 OK\r\nContent-Length: " + LARGE_BYTES + "\r\n\r\n";
    List.copyOf(gateway.backends).forEach(backend -> EmbeddedGateway.send(backend, head + "x"));
    gateway.advance(3_000);
    clients.forEach(PausableChannel::resume);
    for (PausableChannel client : clients) {
      assertTrue(client.readAllOutbound().startsWith("HTTP/1.1 "), "no answer in its time");
    }
  }
}
