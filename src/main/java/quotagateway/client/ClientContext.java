package quotagateway.client;

import io.netty.handler.codec.http.HttpRequest;
import quotagateway.backend.BackendConnectionPool;
import quotagateway.config.ResourceLimits;
import quotagateway.driver.PolicyDriver;
import quotagateway.lifecycle.Lifecycle;
import quotagateway.policy.event.RequestReceived;
import quotagateway.transport.MonotonicClock;

/**
 * What all connections of clients share: the clock, the driver, the settings by which requests are
 * read, the memory that they may hold, and how far the gateway is between its start and its end. On
 * the event loop's thread, but for {@link #ready}.
 */
final class ClientContext {

  /**
   * So long after new settings clients may still ask by the previous ones: they do for 1.2 s, and
   * some requests come late.
   */
  private static final double PREVIOUS_SETTINGS_MS = 3_000;

  private final MonotonicClock clock;
  private final PolicyDriver driver;
  private final BackendConnectionPool backends;
  private final ResourceLimits limits;
  private final Lifecycle lifecycle;
  private RequestReader reader;
  private RequestReader previousReader;
  private double previousReaderUntilMs = Double.NEGATIVE_INFINITY;

  /** Bytes of requests that are being received, or kept until they need not go out again. */
  private int heldBytes;

  private boolean shutDown;

  ClientContext(
      MonotonicClock clock,
      PolicyDriver driver,
      BackendConnectionPool backends,
      RequestReader reader,
      ResourceLimits limits,
      Lifecycle lifecycle) {
    this.clock = clock;
    this.driver = driver;
    this.backends = backends;
    this.reader = reader;
    this.limits = limits;
    this.lifecycle = lifecycle;
  }

  /** Milliseconds on the gateway's clock. */
  double now() {
    return clock.now();
  }

  PolicyDriver driver() {
    return driver;
  }

  /**
   * Reads a request by the settings in force, or shortly after a change by the previous ones.
   *
   * @param arrivedAtMs from when its time-out counts
   * @throws InvalidRequestException where neither knows it as a request, or its identifier is in
   *     use
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

  /** New settings hold for all that is read from now on. */
  void replaceReader(RequestReader newReader) {
    previousReader = reader;
    previousReaderUntilMs = clock.now() + PREVIOUS_SETTINGS_MS;
    reader = newReader;
  }

  /** Counts bytes of requests that are held; negative when they are released. */
  void hold(int bytes) {
    heldBytes += bytes;
  }

  /**
   * Whether so much is held, or so many responses are streamed, that requests are rejected.
   * Prevents a process that exceeds its memory limit and is killed with all that it has.
   */
  boolean memoryExhausted() {
    return heldBytes >= limits.bodyBytes() || driver.streamingResponseCount() >= limits.streams();
  }

  /** Whether it takes clients' requests; asked by the admin server too, from its own thread. */
  boolean ready() {
    return lifecycle.isServing() && backends.hasServingBackend();
  }

  /** Whether connections are to end with their next response. */
  boolean draining() {
    return lifecycle.drainingMs() > 0;
  }

  /** Whether the upstream load balancer has heard of the drain: no further request is expected. */
  boolean drainNoticed() {
    return lifecycle.drainingMs() > ClientServer.DRAIN_NOTICE_MS;
  }

  /** From now on requests are rejected: there is no time left to serve one. */
  void shutDown() {
    shutDown = true;
  }

  boolean isShutDown() {
    return shutDown;
  }
}
