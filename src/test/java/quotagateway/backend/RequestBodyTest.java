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

/** Who owns which buffer of a request's body, and when its source is asked for more. */
class RequestBodyTest {

  private int heldBytes;
  private final List<Boolean> wanted = new ArrayList<>();
  private final RecordingSink sink = new RecordingSink();
  private final RequestBody body = new RequestBody(wanted::add, bytes -> heldBytes += bytes);

  /** Takes pieces as a connection does, and owns them. */
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
  }

  private static ByteBuf bytes(int size) {
    return Unpooled.copiedBuffer("x".repeat(size), US_ASCII);
  }

  private boolean lastWanted() {
    return wanted.get(wanted.size() - 1);
  }

  @Test
  void keptBytesAreCopiedAndCountedUntilTheyAreReleased() {
    ByteBuf lent = bytes(5);
    body.add(lent);
    assertEquals(1, lent.refCnt());
    assertEquals(5, heldBytes);
    ByteBuf kept = body.buffered();
    body.release();
    assertEquals(0, kept.refCnt());
    assertEquals(0, heldBytes);
    assertEquals(1, lent.refCnt());
    lent.release();
  }

  /** The owners of a request release its body at more than one end; the second is no fault. */
  @Test
  void releaseMayBeCalledAgain() {
    body.add(bytes(5));
    body.release();
    body.release();
    assertEquals(0, heldBytes);
    assertEquals(0, body.buffered().readableBytes());
  }

  /** A body over the bound would fill the memory: its source pauses until it is streamed. */
  @Test
  void sourcePausesBeyondTheBufferUntilTheBodyIsStreamed() {
    body.add(bytes(RequestBody.MAX_BUFFERED_BYTES));
    assertTrue(wanted.isEmpty());
    body.add(bytes(1));
    assertTrue(body.exceedsBuffer());
    assertFalse(lastWanted());
    body.streamTo(sink);
    assertTrue(lastWanted());
    assertEquals(RequestBody.MAX_BUFFERED_BYTES + 1, sink.pieces.get(0).readableBytes());
    assertEquals(0, heldBytes);
  }

  @Test
  void sinkOwnsEveryPieceThatItIsGiven() {
    body.add(bytes(5));
    body.streamTo(sink);
    ByteBuf lent = bytes(3);
    body.add(lent);
    assertEquals(2, lent.refCnt());
    body.release();
    assertEquals(1, sink.pieces.get(0).refCnt());
    assertEquals(2, lent.refCnt());
  }

  /** A backend that reads slowly stops its client, so that the body is not kept here. */
  @Test
  void sourcePausesWhileTheSinkTakesNoMore() {
    sink.wantsMore = false;
    body.streamTo(sink);
    body.add(bytes(5));
    assertFalse(lastWanted());
    body.onSinkWritable();
    assertTrue(lastWanted());
  }

  /**
   * Reading pauses at the bytes that end a body. Nobody asks for more of a complete body, so its
   * connection would never be read again.
   */
  @Test
  void endOfThePausedBodyResumesItsSource() {
    body.add(bytes(RequestBody.MAX_BUFFERED_BYTES + 1));
    assertFalse(lastWanted());
    body.end();
    assertTrue(lastWanted());
    assertTrue(body.isComplete());
  }

  /** The attempt that the body was streamed to has ended: no other one can have the rest. */
  @Test
  void bodyIsDroppedWhenItsSinkHasEnded() {
    body.streamTo(sink);
    body.detach(sink);
    ByteBuf lent = bytes(5);
    body.add(lent);
    body.end();
    assertEquals(1, lent.refCnt());
    assertTrue(sink.pieces.isEmpty());
    assertFalse(sink.ended);
  }

  /** An attempt that never got a connection has no sink: its body stays whole for the next one. */
  @Test
  void bodyStaysForTheNextAttemptWhenAnotherSinkEnds() {
    body.add(bytes(5));
    body.detach(null);
    body.end();
    body.streamTo(sink);
    assertEquals(5, sink.pieces.get(0).readableBytes());
    assertTrue(sink.ended);
  }
}
