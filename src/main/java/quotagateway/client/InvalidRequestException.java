package quotagateway.client;

import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * Thrown for a message that is not a valid request of the protocol. The exception message is the
 * reason that is sent to the client. It has no stack trace, because it reports a client's error
 * rather than a fault of the gateway.
 */
final class InvalidRequestException extends Exception {

  private static final long serialVersionUID = 1;

  private final boolean connectionReusable;

  /** Creates an exception for a message whose end is certain. */
  InvalidRequestException(String reason) {
    this(reason, true);
  }

  /**
   * Creates an exception.
   *
   * @param connectionReusable false if another parser may see other requests in the same bytes
   */
  InvalidRequestException(String reason, boolean connectionReusable) {
    super(reason, null, false, false);
    this.connectionReusable = connectionReusable;
  }

  /** Returns the status that is sent to the client. */
  HttpResponseStatus status() {
    return HttpResponseStatus.BAD_REQUEST;
  }

  /**
   * Returns false if the connection has to be closed: the bytes that follow may be a request to one
   * parser and part of this request to another (request smuggling).
   */
  boolean isConnectionReusable() {
    return connectionReusable;
  }
}
