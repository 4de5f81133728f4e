package quotagateway.backend;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests buffer ownership of request bodies and back pressure on their source. */
class RequestBodyTest {

  private int bufferedBytes;

  /** Each call that resumes (true) or pauses (false) reading from the source. */
  private final List<Boolean> readingChanges = new ArrayList<>();

  private final RecordingSink sink = new RecordingSink();
  private final RequestBody body =
      new RequestBody(readingChanges::add, change -> bufferedBytes += change);

  /** Takes ownership of the written buffers, as a connection does. */
  private static final class RecordingSink implements RequestBody.Sink {
    final List<ByteBuf> pieces = new ArrayList<>();
    boolean wantsMore = true;
    boolean ended;

    @Override
    public boolean writeContent(ByteBuf bytes) {
      pieces.add(bytes);
      return wantsMore;
    }

    @Override
    public void end() {
      ended = true;
    }

    @Override
    public void whenUnblocked(Runnable task) {
      task.run();
    }
  }

  private static ByteBuf bytes(int size) {
    return Unpooled.copiedBuffer("x".repeat(size), US_ASCII);
  }

  private boolean isReading() {
    return readingChanges.get(readingChanges.size() - 1);
  }

  @Test
  void bufferedBytesAreCopiedAndCountedUntilRelease() {
    ByteBuf callerBytes = bytes(5);
    body.add(callerBytes);
    assertEquals(1, callerBytes.refCnt());
    assertEquals(5, bufferedBytes);
    ByteBuf internalBuffer = body.buffered();
    body.release();
    assertEquals(0, internalBuffer.refCnt());
    assertEquals(0, bufferedBytes);
    assertEquals(1, callerBytes.refCnt());
    callerBytes.release();
  }

  /** Several owners of a request may release its body; only the first call has an effect. */
  @Test
  void releaseIsIdempotent() {
    body.add(bytes(5));
    body.release();
    body.release();
    assertEquals(0, bufferedBytes);
    assertEquals(0, body.buffered().readableBytes());
  }

  /** Without the pause, a body over the limit would use unbounded memory before it is streamed. */
  @Test
  void sourcePausesBeyondTheBufferUntilTheBodyIsStreamed() {
    body.add(bytes(RequestBody.MAX_BUFFERED_BYTES));
    assertTrue(readingChanges.isEmpty());
    body.add(bytes(1));
    assertTrue(body.exceedsBuffer());
    assertFalse(isReading());
    body.streamTo(sink);
    assertTrue(isReading());
    assertEquals(RequestBody.MAX_BUFFERED_BYTES + 1, sink.pieces.get(0).readableBytes());
    assertEquals(0, bufferedBytes);
  }

  @Test
  void sinkOwnsEveryBufferItIsGiven() {
    body.add(bytes(5));
    body.streamTo(sink);
    ByteBuf callerBytes = bytes(3);
    body.add(callerBytes);
    assertEquals(2, callerBytes.refCnt());
    body.release();
    assertEquals(1, sink.pieces.get(0).refCnt());
    assertEquals(2, callerBytes.refCnt());
  }

  /** Back pressure from a slow backend pauses the client, so that the gateway buffers nothing. */
  @Test
  void sourcePausesWhileTheSinkIsNotWritable() {
    sink.wantsMore = false;
    body.streamTo(sink);
    body.add(bytes(5));
    assertFalse(isReading());
    body.onSinkWritable();
    assertTrue(isReading());
  }

  /**
   * Reading pauses at the last bytes of a body. Nothing requests more of a complete body, so the
   * client's connection would never be read again.
   */
  @Test
  void endOfAPausedBodyResumesItsSource() {
    body.add(bytes(RequestBody.MAX_BUFFERED_BYTES + 1));
    assertFalse(isReading());
    body.end();
    assertTrue(isReading());
    assertTrue(body.isComplete());
  }

  /** After part of the body has been streamed to one attempt, no other attempt can use the rest. */
  @Test
  void bodyIsDiscardedWhenItsSinkIsDetached() {
    body.streamTo(sink);
    body.detach(sink);
    ByteBuf callerBytes = bytes(5);
    body.add(callerBytes);
    body.end();
    assertEquals(1, callerBytes.refCnt());
    assertTrue(sink.pieces.isEmpty());
    assertFalse(sink.ended);
  }

  /** An attempt that never got a connection has no sink, so the body stays complete. */
  @Test
  void bodyIsAvailableToTheNextAttemptWhenAnAttemptWithoutSinkEnds() {
    body.add(bytes(5));
    body.detach(null);
    body.end();
    body.streamTo(sink);
    assertEquals(5, sink.pieces.get(0).readableBytes());
    assertTrue(sink.ended);
  }
}
