package quotagateway.testing;

import static java.nio.charset.StandardCharsets.US_ASCII;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.Set;

/** A channel without a socket whose peer can stop to take what is written. */
public final class PausableChannel extends EmbeddedChannel {

  private boolean paused;

  /** Creates an open channel whose peer takes everything. */
  public PausableChannel(ChannelHandler handler) {
    super(handler);
  }

  /** Stops to take what is written, as a socket whose send buffer is full. */
  public void pause() {
    paused = true;
  }

  /** Takes what waits, and again everything that is written. */
  public void resume() {
    paused = false;
    flush();
    runPendingTasks();
  }

  @Override
  protected void doWrite(ChannelOutboundBuffer in) throws Exception {
    if (!paused) {
      super.doWrite(in);
    }
  }

  /** Returns everything that the peer has taken since the last call, as text. */
  public String readAllOutbound() {
    StringBuilder text = new StringBuilder();
    for (ByteBuf bytes = readOutbound(); bytes != null; bytes = readOutbound()) {
      text.append(bytes.toString(US_ASCII));
      bytes.release();
    }
    return text.toString();
  }

  /** Returns the number of buffers that wait to be written. */
  public int waitingBuffers() {
    ChannelOutboundBuffer outbound = unsafe().outboundBuffer();
    return outbound == null ? 0 : outbound.size();
  }

  /** Returns the memory of the buffers that wait to be written, by their whole capacity. */
  public long waitingCapacity() throws Exception {
    Set<ByteBuf> buffers = Collections.newSetFromMap(new IdentityHashMap<>());
    ChannelOutboundBuffer outbound = unsafe().outboundBuffer();
    if (outbound != null) {
      outbound.forEachFlushedMessage(
          message -> {
            buffers.add(memoryOf((ByteBuf) message));
            return true;
          });
    }
    return buffers.stream().mapToLong(ByteBuf::capacity).sum();
  }

  /** Returns the buffer whose memory a slice or duplicate shares, or the buffer itself. */
  private static ByteBuf memoryOf(ByteBuf buffer) {
    ByteBuf memory = buffer;
    while (memory.unwrap() != null) {
      memory = memory.unwrap();
    }
    return memory;
  }
}
