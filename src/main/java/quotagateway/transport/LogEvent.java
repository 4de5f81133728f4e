package quotagateway.transport;

import java.util.Locale;

/** What happened to a request, an attempt or a connection; its lower-case name is in the log. */
public enum LogEvent {
  ATTEMPT_ENDED,
  ATTEMPT_RETRIED,
  REQUEST_REJECTED,
  REQUEST_FAILED,
  CLIENT_DISCONNECTED,
  CONNECTION_CLOSED;

  private final String text = name().toLowerCase(Locale.ROOT);

  String text() {
    return text;
  }
}
