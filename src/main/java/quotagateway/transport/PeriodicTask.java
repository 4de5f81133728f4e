package quotagateway.transport;

import io.netty.channel.EventLoop;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Runs work periodically, or on each element of a collection, and isolates exceptions. An exception
 * from one element does not stop the work on the others, and an exception from one run does not
 * stop later runs; the scheduler would silently drop a periodic task that throws. The exception is
 * logged, and the work that threw may remain partly done.
 */
public final class PeriodicTask {

  private static final Logger LOG = Logger.getLogger(PeriodicTask.class.getName());

  private PeriodicTask() {}

  /**
   * Runs a task periodically on the event loop until the loop ends, even if a run throws.
   *
   * @param delayMs the delay before the first run and between the end of a run and the next one, in
   *     milliseconds
   */
  public static void schedule(EventLoop loop, long delayMs, Runnable task) {
    loop.scheduleWithFixedDelay(() -> runIsolated(task), delayMs, delayMs, TimeUnit.MILLISECONDS);
  }

  /**
   * Performs the work on each element that the collection contains at the time of the call, even if
   * the work on another one throws. The work may modify the collection.
   */
  public static <T> void forEachIsolated(Collection<T> elements, Consumer<? super T> work) {
    List.copyOf(elements).forEach(element -> runIsolated(() -> work.accept(element)));
  }

  private static void runIsolated(Runnable work) {
    try {
      work.run();
    } catch (RuntimeException e) {
      // Catches any programming error. Elements do not share state, and the next run starts afresh.
      LOG.log(Level.SEVERE, "periodic work failed", e);
    }
  }
}
