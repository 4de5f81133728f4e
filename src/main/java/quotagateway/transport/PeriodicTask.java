package quotagateway.transport;

import io.netty.channel.EventLoop;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Work on many connections or requests, one by one. What one of them throws ends neither the work
 * on the others nor the rounds to come; a task that throws is never run again by its loop, and
 * nothing tells so.
 */
public final class PeriodicTask {

  private static final Logger LOG = Logger.getLogger(PeriodicTask.class.getName());

  private PeriodicTask() {}

  /** Has the loop run a round again and again, so long after the one before. */
  public static void schedule(EventLoop loop, long pauseMs, Runnable round) {
    loop.scheduleWithFixedDelay(() -> guarded(round), pauseMs, pauseMs, TimeUnit.MILLISECONDS);
  }

  /** Works on all that are there by now; the collection may change meanwhile. */
  public static <T> void forEachIsolated(Collection<T> all, Consumer<? super T> work) {
    List.copyOf(all).forEach(one -> guarded(() -> work.accept(one)));
  }

  private static void guarded(Runnable work) {
    try {
      work.run();
    } catch (RuntimeException e) {
      LOG.log(Level.SEVERE, "a sweep goes on without one", e);
    }
  }
}
