package quotagateway.server;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.logging.Logger;

/**
 * Detects whether another process of this gateway has reached the same state, as during an upgrade.
 * Each process holds a lock on a file in a folder that both share.
 *
 * <p>A lock is released when its holder dies, whereas the content of a file may be stale. Without
 * locks, a killed process could be mistaken for a running one, and a shutdown would refuse
 * connections that no other process accepts. The drawback is that each check opens a file.
 */
final class UpgradeCoordinator {

  private static final Logger LOG = Logger.getLogger(UpgradeCoordinator.class.getName());

  /** State of a process that has started. */
  static final String STARTED = "started";

  /** State of a process that serves clients. */
  static final String SERVING = "serving";

  /** The old process and the new one during an upgrade. */
  private static final int MAX_PROCESSES = 2;

  private static final int NO_SLOT = -1;

  private final Path folder;
  private final String state;
  private int ownSlot = NO_SLOT;

  /** Never closed, so that the lock is held until the process ends. */
  private FileChannel ownLock;

  /**
   * @param folder the folder that the processes share
   * @param state the state that a lock stands for
   */
  UpgradeCoordinator(Path folder, String state) {
    this.folder = folder;
    this.state = state;
  }

  /**
   * Acquires a lock to tell other processes that this one has reached the state. An I/O error is
   * logged; if all locks are held already, this process gets none.
   */
  void announce() {
    for (int slot = 0; slot < MAX_PROCESSES && ownSlot == NO_SLOT; slot++) {
      try {
        ownLock = tryLock(slot);
        if (ownLock != null) {
          ownSlot = slot;
        }
      } catch (IOException e) {
        LOG.warning("process lock failed folder=" + folder + " reason=" + e.getMessage());
      }
    }
  }

  /**
   * Returns whether another process has reached the state; always false if this process holds no
   * lock itself.
   */
  boolean isOtherProcessPresent() {
    if (ownSlot == NO_SLOT) {
      return false;
    }
    boolean present = false;
    for (int slot = 0; slot < MAX_PROCESSES; slot++) {
      if (slot != ownSlot) {
        present |= isLocked(slot);
      }
    }
    return present;
  }

  /** Returns whether another process holds the lock; an I/O error counts as not locked. */
  private boolean isLocked(int slot) {
    try {
      FileChannel lock = tryLock(slot);
      close(lock);
      return lock == null;
    } catch (IOException e) {
      return false;
    }
  }

  /** Returns the locked file, or null if it is locked already. */
  private FileChannel tryLock(int slot) throws IOException {
    FileChannel file =
        FileChannel.open(
            folder.resolve(state + "-" + slot),
            StandardOpenOption.CREATE,
            StandardOpenOption.WRITE);
    try {
      if (file.tryLock() != null) {
        return file;
      }
    } catch (OverlappingFileLockException e) {
      // This process already holds the lock.
    } catch (IOException e) {
      close(file);
      throw e;
    }
    close(file);
    return null;
  }

  private static void close(FileChannel file) {
    if (file == null) {
      return;
    }
    try {
      file.close();
    } catch (IOException e) {
      LOG.warning("process lock not closed reason=" + e.getMessage());
    }
  }
}
