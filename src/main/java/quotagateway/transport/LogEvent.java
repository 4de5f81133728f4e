package quotagateway.transport;

import java.util.Locale;

/**
 * What happened to a request, an attempt, a connection or a listening socket; its lower-case name
 * is in the log.
 */
public enum LogEvent {
  ATTEMPT_ENDED,
  ATTEMPT_RETRIED,
  REQUEST_REJECTED,
  REQUEST_FAILED,
  CLIENT_DISCONNECTED,
  CONNECTION_CLOSED,
  ACCEPT_FAILED;

  private final String text = name().toLowerCase(Locale.ROOT);

  String text() {
    return text;
  }
}
