package quotagateway.client;

import io.netty.handler.codec.http.HttpRequest;
import quotagateway.transport.PeerMemory;
import quotagateway.transport.RetainedHeaders;

/**
 * Counts the heap that one client makes the gateway hold: its connection, what has been received of
 * a head, and its requests until the last owner has released them, which may be after the end of
 * the connection. Confined to the event loop's thread.
 */
final class ConnectionMemory {

  /** Memory of a connection with its handlers. */
  private static final int CONNECTION_BYTES = 3 * 1024;

  /** Memory of a request besides its header fields and its body. */
  private static final int REQUEST_BYTES = 1024;

  /** Further memory of a request that has been accepted: its state, timers and attempts. */
  static final int ACCEPTED_REQUEST_BYTES = 5 * 1024;

  /** Most memory of a client whose further requests are read when memory is exhausted. */
  private static final int SMALL_BYTES = 16 * 1024;

  private final PeerMemory memory;
  private int decodingBytes;
  private int requestBytes;

  ConnectionMemory(PeerMemory memory) {
    this.memory = memory;
  }

  void onOpened() {
    memory.heap().reserve(CONNECTION_BYTES);
  }

  void onClosed() {
    setDecodingBytes(0);
    memory.heap().release(CONNECTION_BYTES);
  }

  /** Sets the memory of what has been received and is not part of a request yet. */
  void setDecodingBytes(int bytes) {
    int change = bytes - decodingBytes;
    decodingBytes = bytes;
    memory.heap().adjust(change);
  }

  /** Adds to the memory of the client's requests; negative when memory is freed. */
  void adjustRequestBytes(int change) {
    requestBytes += change;
    memory.requests().adjust(change);
  }

  /** Returns whether the client holds so little that its next request is read to be rejected. */
  boolean isSmall() {
    return heldBytes() <= SMALL_BYTES;
  }

  /** Returns whether so little is held by all requests that one may hold more than it needs. */
  boolean mayReadAhead() {
    return memory.requests().isHalfFree();
  }

  /** Returns the memory of what has been received and of the client's requests. */
  int heldBytes() {
    return decodingBytes + requestBytes;
  }

  /** Returns the memory of a request with this head, without its body. */
  static int requestBytes(HttpRequest head) {
    int fieldBytes = head.headers() instanceof RetainedHeaders fields ? fields.heldBytes() : 0;
    return REQUEST_BYTES + fieldBytes + head.uri().length();
  }
}
