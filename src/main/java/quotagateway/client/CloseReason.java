package quotagateway.client;

/** Why the gateway closes a client's connection other than with an error response. */
enum CloseReason {
  /** No request was open for too long. */
  IDLE,
  /** Another client needs its place. */
  MAKE_ROOM,
  /** The gateway drains or shuts down. */
  SHUTDOWN,
  /** The last response has been written. */
  LAST_RESPONSE,
  /** The client has not read its response for too long. */
  RESPONSE_NOT_READ,
  /** A streamed response cannot be completed. */
  STREAM_INCOMPLETE,
  /** The heap is exhausted. */
  OUT_OF_MEMORY,
  /** A fault of the program. */
  INTERNAL_ERROR
}
