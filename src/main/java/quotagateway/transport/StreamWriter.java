package quotagateway.transport;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Writes messages to one channel, and bounds the memory of a body that is streamed to a slow peer.
 * While the socket has not taken everything that was written, the source of the body must not be
 * read. Pieces that come all the same, as the rest of one read, are copied into one buffer and
 * written when the socket has taken what is before them.
 *
 * <p>Netty's own queue holds each piece in the buffer into which it was read, and counts the bytes
 * of the piece only. A few bytes could thus hold a whole read buffer, and many small pieces could
 * use up the direct memory at a small fraction of the high-water mark. Here at most one such buffer
 * waits, whatever the size of the pieces. Confined to the event loop's thread.
 */
public final class StreamWriter {

  private final Channel channel;
  private final Runnable progressListener;

  /** Pieces that wait for the last write, or null. Implies that the last write is not done. */
  private ByteBuf waiting;

  /** Null before the first write. */
  private ChannelFuture lastWrite;

  /**
   * Creates a writer, which must make all writes to the channel.
   *
   * @param progressListener called when the socket has taken a write that it did not take at once
   */
  public StreamWriter(Channel channel, Runnable progressListener) {
    this.channel = channel;
    this.progressListener = progressListener;
  }

  /** Returns whether the socket has not taken everything that was written. */
  public boolean isBlocked() {
    return lastWrite != null && !lastWrite.isDone();
  }

  /** Returns the future of the last write, or null before the first. */
  public ChannelFuture lastWrite() {
    return lastWrite;
  }

  /** Runs a task once the socket has taken everything that was written, or is closed. */
  public void whenUnblocked(Runnable task) {
    if (isBlocked()) {
      lastWrite.addListener(written -> whenUnblocked(task));
    } else {
      task.run();
    }
  }

  /**
   * Writes a message and takes ownership of it.
   *
   * @return completes when the socket has taken the message
   */
  public ChannelFuture write(HttpObject message) {
    if (waiting != null) {
      channel.write(new DefaultHttpContent(takeWaiting()));
    }
    return track(channel.writeAndFlush(message));
  }

  /** Writes the head of a message whose body follows in the same turn of the event loop. */
  public void writeHead(HttpObject head) {
    channel.write(head);
  }

  /** Passes what was written to the socket. */
  public void flush() {
    channel.flush();
  }

  /**
   * Writes a piece of a body and takes ownership of it. A failure closes the channel.
   *
   * @return whether the source of the body may be read now
   */
  public boolean writeContent(HttpContent piece) {
    if (isBlocked() && !(piece instanceof LastHttpContent)) {
      append(piece);
    } else {
      write(piece);
    }
    return !isBlocked();
  }

  private void append(HttpContent piece) {
    try {
      if (waiting == null) {
        waiting = channel.alloc().buffer(SocketTransport.MAX_READ_BYTES);
      }
      BufferGrowth.ensureWritable(waiting, piece.content().readableBytes());
      waiting.writeBytes(piece.content());
    } finally {
      piece.release();
    }
  }

  private ByteBuf takeWaiting() {
    ByteBuf taken = waiting;
    waiting = null;
    return taken;
  }

  private ChannelFuture track(ChannelFuture write) {
    lastWrite = write;
    if (!write.isDone()) {
      write.addListener((ChannelFuture written) -> onWritten(written));
    } else if (!write.isSuccess()) {
      channel.close();
    }
    return write;
  }

  private void onWritten(ChannelFuture written) {
    if (!written.isSuccess()) {
      if (waiting != null) {
        takeWaiting().release();
      }
      channel.close();
      return;
    }
    if (written == lastWrite && waiting != null) {
      track(channel.writeAndFlush(new DefaultHttpContent(takeWaiting())));
    }
    progressListener.run();
  }
}
