package quotagateway.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Work that goes on after an exception. */
class PeriodicTaskTest {

  private static void fail() {
    throw new IllegalStateException("as a test has it");
  }

  @Test
  void anExceptionForOneElementDoesNotKeepTheOthersFromTheirWork() {
    List<Integer> done = new ArrayList<>();
    PeriodicTask.forEachIsolated(
        List.of(1, 2, 3),
        one -> {
          done.add(one);
          if (one == 2) {
            fail();
          }
        });
    assertEquals(List.of(1, 2, 3), done);
  }

  /** As when a connection is closed by it. */
  @Test
  void theCollectionMayChangeDuringTheWork() {
    List<Integer> all = new ArrayList<>(List.of(1, 2, 3));
    PeriodicTask.forEachIsolated(all, all::remove);
    assertEquals(List.of(), all);
  }

  @Test
  void aScheduledTaskRunsAgainAfterItThrew() {
    EmbeddedChannel channel = new EmbeddedChannel();
    int[] rounds = new int[1];
    PeriodicTask.schedule(
        channel.eventLoop(),
        100,
        () -> {
          rounds[0]++;
          fail();
        });
    for (int i = 0; i < 3; i++) {
      channel.advanceTimeBy(100, TimeUnit.MILLISECONDS);
      channel.runScheduledPendingTasks();
    }
    assertEquals(3, rounds[0]);
    channel.close();
  }
}
