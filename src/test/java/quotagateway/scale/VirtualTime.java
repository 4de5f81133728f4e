package quotagateway.scale;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * A clock that jumps from task to task, in milliseconds; tasks of one moment run in the order they
 * came.
 */
final class VirtualTime {

  private record Task(double atMs, long order, Runnable work) {}

  private final PriorityQueue<Task> tasks =
      new PriorityQueue<>(Comparator.comparingDouble(Task::atMs).thenComparingLong(Task::order));
  private double nowMs;
  private long scheduled;

  VirtualTime(double startMs) {
    nowMs = startMs;
  }

  double now() {
    return nowMs;
  }

  /** Runs the work then, or next if that moment is past. */
  void at(double atMs, Runnable work) {
    tasks.add(new Task(Math.max(atMs, nowMs), scheduled++, work));
  }

  void after(double delayMs, Runnable work) {
    at(nowMs + delayMs, work);
  }

  /** Runs all tasks up to that moment, which is the present then. */
  void runUntil(double untilMs) {
    while (!tasks.isEmpty() && tasks.peek().atMs <= untilMs) {
      Task task = tasks.poll();
      nowMs = task.atMs;
      task.work.run();
    }
    nowMs = untilMs;
  }
}
