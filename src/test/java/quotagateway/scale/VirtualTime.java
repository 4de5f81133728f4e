package quotagateway.scale;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * A virtual clock in milliseconds that advances from task to task. Tasks scheduled for the same
 * time run in the order in which they were scheduled.
 */
final class VirtualTime {

  private record Task(double atMs, long order, Runnable action) {}

  private final PriorityQueue<Task> tasks =
      new PriorityQueue<>(Comparator.comparingDouble(Task::atMs).thenComparingLong(Task::order));
  private double nowMs;
  private long nextOrder;

  VirtualTime(double startMs) {
    nowMs = startMs;
  }

  double now() {
    return nowMs;
  }

  /** Schedules a task at a time, or at the current time if that time is past. */
  void scheduleAt(double atMs, Runnable action) {
    tasks.add(new Task(Math.max(atMs, nowMs), nextOrder++, action));
  }

  void scheduleAfter(double delayMs, Runnable action) {
    scheduleAt(nowMs + delayMs, action);
  }

  /** Runs all tasks due up to the given time and advances the clock to it. */
  void runUntil(double untilMs) {
    while (!tasks.isEmpty() && tasks.peek().atMs <= untilMs) {
      Task task = tasks.poll();
      nowMs = task.atMs;
      task.action.run();
    }
    nowMs = untilMs;
  }
}
