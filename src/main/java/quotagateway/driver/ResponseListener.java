package quotagateway.driver;

import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;
import quotagateway.backend.Attempt;

/**
 * Listener for the final response to one client request. The driver notifies it of exactly one
 * final response, which is complete, streamed, rejected or failed, or of none if the client has
 * disconnected. All calls are made on the event loop's thread.
 */
public interface ResponseListener {

  /**
   * Ends the request if the client has closed its connection, as far as this machine has received
   * the close.
   *
   * @return whether the client has closed its connection
   */
  boolean endIfDisconnected();

  /**
   * Called with a complete response.
   *
   * @param response owned by the caller and valid only during the call
   */
  void onResponse(FullHttpResponse response);

  /**
   * Reserves the memory of a streamed response, unless it is reserved already or the response is no
   * longer wanted.
   *
   * @return false if too much memory is held; the response may then not be streamed yet
   */
  boolean reserveStreamMemory();

  /**
   * Called when a streamed response starts.
   *
   * @param attempt the attempt that receives the response
   */
  void onResponseStart(HttpResponse head, Attempt attempt);

  /**
   * Called with the next part of a streamed response.
   *
   * @return whether the client can accept more content now
   */
  boolean onResponseContent(HttpContent content);

  /**
   * Called when a streamed response ends. The client must be able to detect an incomplete response.
   *
   * @param complete whether the response was received to its end
   */
  void onResponseEnd(boolean complete);

  /** Called when the request is rejected. The client may safely send it again. */
  void onRejected(double retryAfterMs);

  /** Called when the request fails. A backend may have executed it. */
  void onFailed();
}
