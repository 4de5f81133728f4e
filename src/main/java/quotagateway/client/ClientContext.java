package quotagateway.client;

import io.netty.handler.codec.http.HttpRequest;
import quotagateway.backend.BackendConnectionPool;
import quotagateway.backend.RequestBody;
import quotagateway.driver.PolicyDriver;
import quotagateway.lifecycle.Lifecycle;
import quotagateway.policy.event.RequestReceived;
import quotagateway.transport.HeapWatch;
import quotagateway.transport.MonotonicClock;
import quotagateway.transport.PeerMemory;

/**
 * State shared by all client connections: the clock, the driver, the settings by which requests are
 * read, the memory that requests may hold, and the lifecycle of the gateway. Confined to the event
 * loop's thread, except for {@link #isReady}.
 */
final class ClientContext {

  /**
   * How long after a change of settings requests may still follow the previous ones: clients use
   * them for 1.2 s, and some requests arrive late.
   */
  private static final double PREVIOUS_SETTINGS_GRACE_MS = 3_000;

  private final MonotonicClock clock;
  private final PolicyDriver driver;
  private final BackendConnectionPool backends;
  private final PeerMemory memory;
  private final HeapWatch heapWatch;
  private final Lifecycle lifecycle;
  private RequestReader reader;
  private RequestReader previousReader;
  private double previousReaderUntilMs = Double.NEGATIVE_INFINITY;

  private boolean shutDown;

  ClientContext(
      MonotonicClock clock,
      PolicyDriver driver,
      BackendConnectionPool backends,
      RequestReader reader,
      PeerMemory memory,
      HeapWatch heapWatch,
      Lifecycle lifecycle) {
    this.clock = clock;
    this.driver = driver;
    this.backends = backends;
    this.reader = reader;
    this.memory = memory;
    this.heapWatch = heapWatch;
    this.lifecycle = lifecycle;
  }

  /** Returns the time on the gateway's clock in milliseconds. */
  double now() {
    return clock.now();
  }

  BackendConnectionPool backends() {
    return backends;
  }

  PolicyDriver driver() {
    return driver;
  }

  /**
   * Reads a request by the settings in force or, shortly after a change, by the previous ones.
   *
   * @param arrivedAtMs when the request arrived; its timeout counts from then
   * @throws InvalidRequestException if the message is not a valid request by either, or its
   *     identifier is in use
   */
  RequestReceived read(HttpRequest message, double arrivedAtMs) throws InvalidRequestException {
    RequestReceived request;
    try {
      request = reader.read(message, arrivedAtMs);
    } catch (InvalidRequestException e) {
      if (clock.now() > previousReaderUntilMs) {
        throw e;
      }
      request = previousReader.read(message, arrivedAtMs);
    }
    if (driver.isActive(request.requestId())) {
      throw new InvalidRequestException("Request-Id is in use");
    }
    return request;
  }

  /** Applies new settings to all requests that are read from now on. */
  void replaceReader(RequestReader newReader) {
    previousReader = reader;
    previousReaderUntilMs = clock.now() + PREVIOUS_SETTINGS_GRACE_MS;
    reader = newReader;
  }

  /** Returns the memory that peers hold. */
  PeerMemory memory() {
    return memory;
  }

  /**
   * Returns whether requests are rejected because too much memory is held: by clients and their
   * requests, by streamed bodies, by responses that clients have not read, or by anything else on
   * the heap. Without this, the process could exceed its memory limit and be killed with all its
   * requests.
   */
  boolean isMemoryExhausted() {
    return heapWatch.isExhausted()
        || !memory.requests().hasRoomFor(1)
        || !memory.streams().hasRoomFor(PeerMemory.STREAM_BYTES)
        || !memory.unread().hasRoomFor(RequestBody.MAX_BUFFERED_BYTES);
  }

  HeapWatch heapWatch() {
    return heapWatch;
  }

  /**
   * Returns whether the gateway accepts clients' requests. The admin server also calls it, on its
   * own thread.
   */
  boolean isReady() {
    return lifecycle.isServing() && backends.hasServingBackend();
  }

  /** Returns whether connections have to be closed with their next response. */
  boolean isDraining() {
    return lifecycle.drainingMs() > 0;
  }

  /**
   * Returns whether the upstream load balancer has noticed the drain, so that no further request is
   * expected.
   */
  boolean isDrainNoticed() {
    return lifecycle.drainingMs() > ClientServer.DRAIN_NOTICE_MS;
  }

  /** Rejects requests from now on, because no time is left to serve one. */
  void shutDown() {
    shutDown = true;
  }

  boolean isShutDown() {
    return shutDown;
  }
}
