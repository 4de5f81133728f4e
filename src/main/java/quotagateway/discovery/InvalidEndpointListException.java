package quotagateway.discovery;

import java.io.IOException;

/**
 * Thrown if a message of discovery is malformed, has no endpoint list, or has more endpoints than
 * this gateway has memory for. The message has no effect, and the rest of its stream cannot be
 * read.
 */
public final class InvalidEndpointListException extends IOException {

  private static final long serialVersionUID = 1L;

  InvalidEndpointListException(String reason) {
    super(reason);
  }

  InvalidEndpointListException(IOException cause) {
    super(cause.getMessage(), cause);
  }
}
