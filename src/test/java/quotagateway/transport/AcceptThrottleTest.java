package quotagateway.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.embedded.EmbeddedChannel;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the pauses of accepting on a frozen clock. */
class AcceptThrottleTest {

  private static final long PAUSE_MS = 50;

  private final AcceptThrottle throttle = new AcceptThrottle();
  private final EmbeddedChannel listening = new EmbeddedChannel(throttle);
  private int elapsedPauses;

  @BeforeEach
  void freezeTime() {
    listening.freezeTime();
  }

  private void advance(long milliseconds) {
    listening.advanceTimeBy(milliseconds, TimeUnit.MILLISECONDS);
    listening.runPendingTasks();
  }

  private boolean isAccepting() {
    return listening.config().isAutoRead();
  }

  /** A client has waited for a whole second behind one connection that had been aborted. */
  @Test
  void failedAcceptHoldsUpOtherClientsForMomentsOnly() {
    listening.pipeline().fireExceptionCaught(new IOException("Software caused connection abort"));
    assertFalse(isAccepting());
    advance(PAUSE_MS);
    assertTrue(isAccepting());
    listening.checkException();
  }

  @Test
  void pauseLastsUntilResumed() {
    throttle.pause(PAUSE_MS, () -> elapsedPauses++);
    assertFalse(isAccepting());
    advance(PAUSE_MS);
    assertEquals(1, elapsedPauses);
    assertFalse(isAccepting());
    throttle.resume();
    assertTrue(isAccepting());
    assertFalse(throttle.isPaused());
  }

  @Test
  void endOfAnEarlierPauseDoesNotEndALaterOne() {
    throttle.pause(PAUSE_MS, () -> elapsedPauses++);
    throttle.resume();
    advance(PAUSE_MS / 2);
    throttle.pause(PAUSE_MS, () -> elapsedPauses++);
    advance(PAUSE_MS / 2);
    assertEquals(0, elapsedPauses);
    advance(PAUSE_MS / 2);
    assertEquals(1, elapsedPauses);
  }
}
