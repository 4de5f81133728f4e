package quotagateway.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the limit of a memory pool and the order of the tasks that wait for it. */
class MemoryPoolTest {

  private final MemoryPool pool = new MemoryPool(100);
  private final List<String> events = new ArrayList<>();

  private boolean reserve(String name, int bytes) {
    boolean reserved = pool.tryReserve(bytes);
    events.add(name + (reserved ? " reserved" : " waits"));
    return reserved;
  }

  @Test
  void reservesUpToTheLimitAndNoMore() {
    assertTrue(pool.tryReserve(100));
    assertFalse(pool.tryReserve(1));
    pool.release(1);
    assertTrue(pool.hasRoomFor(1));
    assertFalse(pool.hasRoomFor(2));
  }

  /** What is held already counts beyond the limit, so that nothing else is reserved meanwhile. */
  @Test
  void heldBytesCountBeyondTheLimit() {
    assertTrue(pool.reserve(100));
    assertFalse(pool.reserve(50));
    pool.release(50);
    assertFalse(pool.tryReserve(1));
  }

  /** A large response that waits must not be overtaken forever by small ones behind it. */
  @Test
  void tasksResumeInOrderAsFarAsTheMemorySuffices() {
    pool.reserve(100);
    pool.whenReleased(() -> reserve("large", 60));
    pool.whenReleased(() -> reserve("small", 10));
    pool.release(50);
    assertEquals(List.of("large waits"), events);
    pool.release(20);
    assertEquals(List.of("large waits", "large reserved", "small reserved"), events);
  }

  /** Memory that a task releases is for the tasks behind it, in the same turn. */
  @Test
  void releaseWithinATaskResumesTheNextTask() {
    pool.reserve(100);
    pool.whenReleased(
        () -> {
          pool.release(10);
          return true;
        });
    pool.whenReleased(() -> reserve("next", 20));
    pool.release(10);
    assertEquals(List.of("next reserved"), events);
  }

  /** Each kind has its own limit, and all kinds together have one. */
  @Test
  void partsShareTheLimitOfTheWhole() {
    MemoryPool first = pool.addPart(60);
    MemoryPool second = pool.addPart(100);
    assertFalse(first.tryReserve(61));
    assertTrue(first.tryReserve(60));
    assertFalse(second.tryReserve(41));
    assertTrue(second.tryReserve(40));
  }

  /** Memory that one part returns may be what a task of another part waits for. */
  @Test
  void releaseInOnePartResumesTasksOfAnother() {
    MemoryPool first = pool.addPart(100);
    MemoryPool second = pool.addPart(100);
    first.reserve(100);
    second.whenReleased(() -> second.tryReserve(50) && events.add("second reserved"));
    first.release(50);
    assertEquals(List.of("second reserved"), events);
    assertFalse(pool.hasRoomFor(1));
  }

  /** A task that fails must not keep the others waiting forever. */
  @Test
  void failedTaskIsDropped() {
    pool.reserve(100);
    pool.whenReleased(
        () -> {
          throw new IllegalStateException("a fault of the program");
        });
    pool.whenReleased(() -> reserve("next", 20));
    assertThrows(IllegalStateException.class, () -> pool.release(50));
    pool.release(1);
    assertEquals(List.of("next reserved"), events);
  }
}
