package quotagateway.client;

import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * A message that is no request of the protocol. The message is the reason that its client is given.
 * Without a stack trace, as it is an answer to a client rather than a fault here.
 */
final class InvalidRequestException extends Exception {

  private static final long serialVersionUID = 1;

  private final boolean connectionReusable;

  /** For a message of which it is certain where it ends. */
  InvalidRequestException(String reason) {
    this(reason, true);
  }

  /**
   * @param connectionReusable false where another reader may see other requests in the same bytes
   */
  InvalidRequestException(String reason, boolean connectionReusable) {
    super(reason, null, false, false);
    this.connectionReusable = connectionReusable;
  }

  /** What the client is answered. */
  HttpResponseStatus status() {
    return HttpResponseStatus.BAD_REQUEST;
  }

  /**
   * False where the connection has to end: what comes next on it may be a request to one reader and
   * part of this one to another (request smuggling).
   */
  boolean connectionReusable() {
    return connectionReusable;
  }
}
