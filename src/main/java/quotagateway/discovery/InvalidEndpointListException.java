package quotagateway.discovery;

import java.io.IOException;

/**
 * A message of discovery that is malformed, has no list of endpoints, or has more of them than this
 * gateway has memory for. Nothing of it takes effect, and nothing more can be read from its stream.
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
