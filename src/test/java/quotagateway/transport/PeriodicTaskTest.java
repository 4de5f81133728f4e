package quotagateway.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Tests that work continues after an exception. */
class PeriodicTaskTest {

  private static void fail() {
    throw new IllegalStateException("expected by the test");
  }

  @Test
  void processesOtherElementsWhenOneThrows() {
    List<Integer> processed = new ArrayList<>();
    PeriodicTask.forEachIsolated(
        List.of(1, 2, 3),
        element -> {
          processed.add(element);
          if (element == 2) {
            fail();
          }
        });
    assertEquals(List.of(1, 2, 3), processed);
  }

  /** For example, closing a connection removes it from the collection of connections. */
  @Test
  void workMayModifyTheCollection() {
    List<Integer> elements = new ArrayList<>(List.of(1, 2, 3));
    PeriodicTask.forEachIsolated(elements, elements::remove);
    assertEquals(List.of(), elements);
  }

  @Test
  void scheduledTaskRunsAgainAfterAnException() {
    EmbeddedChannel channel = new EmbeddedChannel();
    int[] runs = new int[1];
    PeriodicTask.schedule(
        channel.eventLoop(),
        100,
        () -> {
          runs[0]++;
          fail();
        });
    for (int i = 0; i < 3; i++) {
      channel.advanceTimeBy(100, TimeUnit.MILLISECONDS);
      channel.runScheduledPendingTasks();
    }
    assertEquals(3, runs[0]);
    channel.close();
  }
}
