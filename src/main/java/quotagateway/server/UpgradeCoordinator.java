package quotagateway.server;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.logging.Logger;

/**
 * Whether another process of this front door has come as far as this one, as while one is upgraded.
 * Each holds a lock in the folder that both share: a lock ends with its holder, while what a file
 * says may be stale.
 */
final class UpgradeCoordinator {

  private static final Logger LOG = Logger.getLogger(UpgradeCoordinator.class.getName());
  private static final int PROCESSES = 2;

  private final Path folder;
  private final String state;
  private int own = -1;

  /** Never closed: the lock lives as long as the process. */
  private FileChannel held;

  /** The state is what the lock stands for: that a process has started, say, or that it serves. */
  UpgradeCoordinator(Path folder, String state) {
    this.folder = folder;
    this.state = state;
  }

  /** Tells other processes from now on that this one is in the state. */
  void enter() {
    for (int place = 0; place < PROCESSES && own < 0; place++) {
      try {
        held = take(place);
        own = held == null ? -1 : place;
      } catch (IOException e) {
        LOG.warning("cannot lock in " + folder + ": " + e.getMessage());
      }
    }
  }

  /** Whether another process is in the state; only a process that is in it itself can tell. */
  boolean another() {
    boolean other = false;
    for (int place = 0; place < PROCESSES && own >= 0; place++) {
      if (place != own) {
        other |= taken(place);
      }
    }
    return other;
  }

  /** What cannot be locked for another cause than a lock is nobody's. */
  private boolean taken(int place) {
    try {
      FileChannel free = take(place);
      release(free);
      return free == null;
    } catch (IOException e) {
      return false;
    }
  }

  /** The locked file, or null where another holds it. */
  private FileChannel take(int place) throws IOException {
    FileChannel file =
        FileChannel.open(
            folder.resolve(state + "-" + place),
            StandardOpenOption.CREATE,
            StandardOpenOption.WRITE);
    try {
      if (file.tryLock() != null) {
        return file;
      }
    } catch (OverlappingFileLockException e) {
      // Held, by this process.
    } catch (IOException e) {
      release(file);
      throw e;
    }
    release(file);
    return null;
  }

  private static void release(FileChannel file) {
    try {
      if (file != null) {
        file.close();
      }
    } catch (IOException e) {
      LOG.warning("cannot close a lock: " + e.getMessage());
    }
  }
}
