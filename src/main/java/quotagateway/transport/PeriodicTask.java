package quotagateway.transport;

import io.netty.channel.EventLoop;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Work on many connections or requests, one after another, once or again and again. Prevents an
 * exception in the work on one of them from ending the work on the others and all rounds to come: a
 * scheduled task that throws is not run again, and nothing reports it. Cost: what threw may stay
 * half done; it is logged.
 */
public final class PeriodicTask {

  private static final Logger LOG = Logger.getLogger(PeriodicTask.class.getName());

  private PeriodicTask() {}

  /**
   * Runs a task on the event loop until the loop ends, also after a run that threw.
   *
   * @param delayMs from the end of a run to the next, and before the first, in milliseconds
   */
  public static void schedule(EventLoop loop, long delayMs, Runnable task) {
    loop.scheduleWithFixedDelay(() -> runIsolated(task), delayMs, delayMs, TimeUnit.MILLISECONDS);
  }

  /**
   * Works on each element that is there by now, also after one whose work threw. The collection may
   * change meanwhile.
   */
  public static <T> void forEachIsolated(Collection<T> elements, Consumer<? super T> work) {
    List.copyOf(elements).forEach(element -> runIsolated(() -> work.accept(element)));
  }

  private static void runIsolated(Runnable work) {
    try {
      work.run();
    } catch (RuntimeException e) {
      // Any fault of the program may come here. The state of other elements is their own, and the
      // next run looks at everything afresh.
      LOG.log(Level.SEVERE, "periodic work failed", e);
    }
  }
}
