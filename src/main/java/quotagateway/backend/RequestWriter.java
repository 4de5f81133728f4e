package quotagateway.backend;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import quotagateway.policy.event.Status;
import quotagateway.transport.MonotonicClock;
import quotagateway.transport.ProtocolHeaders;
import quotagateway.transport.StreamWriter;

/**
 * Writes the request of one attempt to one connection, at once if the body is complete, otherwise
 * as the body is received. Neither this class nor the connection pool sends a request again: only
 * the policy decides on further attempts. Confined to the event loop's thread.
 */
final class RequestWriter implements RequestBody.Sink {

  private final Channel channel;
  private final Attempt attempt;
  private final StreamWriter output;

  RequestWriter(Channel channel, Attempt attempt) {
    this.channel = channel;
    this.attempt = attempt;
    output = new StreamWriter(channel, this::onProgress);
  }

  /** Writes the complete request, or the head and the part of the body received so far. */
  void write(MonotonicClock clock) {
    setTimeoutHeader(clock);
    HttpRequest head = attempt.head();
    if (attempt.body().isComplete()) {
      writeLast(
          new DefaultFullHttpRequest(
              HttpVersion.HTTP_1_1,
              head.method(),
              head.uri(),
              attempt.body().buffered().retainedDuplicate(),
              head.headers(),
              EmptyHttpHeaders.INSTANCE));
    } else {
      output.writeHead(
          new DefaultHttpRequest(HttpVersion.HTTP_1_1, head.method(), head.uri(), head.headers()));
      attempt.body().streamTo(this);
      output.flush();
    }
  }

  /**
   * Sets the timeout header to the time left until the attempt's deadline, which is less than the
   * attempt's timeout if the connection took long to open.
   */
  private void setTimeoutHeader(MonotonicClock clock) {
    if (attempt.deadlineMs() < Double.POSITIVE_INFINITY) {
      double remainingMs = Math.max(1, attempt.deadlineMs() - clock.now());
      String headerValue = Long.toString((long) Math.ceil(remainingMs));
      attempt.head().headers().set(ProtocolHeaders.TIMEOUT_MS, headerValue);
    }
  }

  private void writeLast(HttpObject last) {
    output
        .write(last)
        .addListener(
            (ChannelFuture written) -> {
              if (written.isSuccess()) {
                attempt.markWritten();
              } else {
                attempt.end(Status.WRITE_INCOMPLETE, null);
                channel.close();
              }
            });
  }

  @Override
  public boolean writeContent(ByteBuf bytes) {
    return output.writeContent(new DefaultHttpContent(bytes));
  }

  private void onProgress() {
    if (!output.isBlocked() && !attempt.hasEnded()) {
      attempt.body().onSinkWritable();
    }
  }

  @Override
  public void whenUnblocked(Runnable task) {
    output.whenUnblocked(task);
  }

  @Override
  public void end() {
    writeLast(LastHttpContent.EMPTY_LAST_CONTENT);
  }
}
