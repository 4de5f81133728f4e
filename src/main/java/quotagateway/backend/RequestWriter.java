package quotagateway.backend;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
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

/**
 * Writes the request of one attempt to one connection, at once where its body is complete, else as
 * it comes. Nothing below the policy ever writes it again. On the event loop's thread.
 */
final class RequestWriter implements RequestBody.Sink {

  private final Channel channel;
  private final Attempt attempt;

  RequestWriter(Channel channel, Attempt attempt) {
    this.channel = channel;
    this.attempt = attempt;
  }

  /** Writes the request, or what there is of it. */
  void write(MonotonicClock clock) {
    stateTimeLeft(clock);
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
      channel.write(
          new DefaultHttpRequest(HttpVersion.HTTP_1_1, head.method(), head.uri(), head.headers()));
      attempt.body().streamTo(this);
      channel.flush();
    }
  }

  /** The time that is left by now: the connection may have been long in coming up. */
  private void stateTimeLeft(MonotonicClock clock) {
    if (attempt.dueAtMs() < Double.POSITIVE_INFINITY) {
      double leftMs = Math.max(1, attempt.dueAtMs() - clock.now());
      String wholeMs = Long.toString((long) Math.ceil(leftMs));
      attempt.head().headers().set(ProtocolHeaders.TIMEOUT_MS, wholeMs);
    }
  }

  private void writeLast(HttpObject last) {
    channel
        .writeAndFlush(last)
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
  public boolean piece(ByteBuf bytes) {
    channel
        .writeAndFlush(new DefaultHttpContent(bytes))
        .addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
    return channel.isWritable();
  }

  @Override
  public void end() {
    writeLast(LastHttpContent.EMPTY_LAST_CONTENT);
  }
}
