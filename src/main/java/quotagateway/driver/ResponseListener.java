package quotagateway.driver;

import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;
import quotagateway.backend.Attempt;

/**
 * The client's side of one request. It is notified of exactly one final response: whole, streamed,
 * rejected or failed; or of none, where the client has disconnected. All calls are made on the
 * event loop's thread.
 */
public interface ResponseListener {

  /**
   * Ends the request if the client has closed its connection, as far as this machine can know by
   * now.
   *
   * @return whether it has
   */
  boolean endIfDisconnected();

  /** A whole response; it is only lent. */
  void onResponse(FullHttpResponse response);

  /** A response begins that is streamed from the attempt. */
  void onResponseStart(HttpResponse head, Attempt from);

  /** The next part of a streamed response; true while more can be taken now. */
  boolean onResponseContent(HttpContent content);

  /** No more of a streamed response comes; one that is not complete must be seen to be so. */
  void onResponseEnd(boolean complete);

  /** Rejected: its client may safely send it again. */
  void onRejected(double retryAfterMs);

  /** Failed: it may have been executed. */
  void onFailed();
}
