package quotagateway.server;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.logging.Logger;

/**
 * Whether another process of this gateway has come as far as this one, as during an upgrade. Each
 * holds a lock on a file in the folder that both share.
 *
 * <p>Prevents a process that was killed from being taken for one that runs, by which a shutdown
 * would refuse connections that nobody else accepts: a lock ends with its holder, while the content
 * of a file may be stale. Cost: a file is opened for each look.
 */
final class UpgradeCoordinator {

  private static final Logger LOG = Logger.getLogger(UpgradeCoordinator.class.getName());

  /** The lock says that a process has started. */
  static final String STARTED = "started";

  /** The lock says that a process serves clients. */
  static final String SERVING = "serving";

  /** An old process and the new one beside it. */
  private static final int MAX_PROCESSES = 2;

  private static final int NO_SLOT = -1;

  private final Path folder;
  private final String state;
  private int ownSlot = NO_SLOT;

  /** Never closed: the lock lives as long as the process. */
  private FileChannel ownLock;

  /**
   * @param folder that the processes share
   * @param state what the lock says of its holder
   */
  UpgradeCoordinator(Path folder, String state) {
    this.folder = folder;
    this.state = state;
  }

  /** Lets other processes know from now on that this one is in the state. */
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

  /** Whether another process is in the state; false where this one is not in it itself. */
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

  /** What cannot be locked for another cause than a lock has no holder. */
  private boolean isLocked(int slot) {
    try {
      FileChannel lock = tryLock(slot);
      close(lock);
      return lock == null;
    } catch (IOException e) {
      return false;
    }
  }

  /** The locked file, or null where it is locked already. */
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
      // Locked, by this process.
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
