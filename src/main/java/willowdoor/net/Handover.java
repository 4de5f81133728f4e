package willowdoor.net;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.logging.Logger;

/**
 * Whether another process serves at the same address, as while one is upgraded. Each that listens holds a
 * lock in the folder that both share: a lock ends with its holder, while what a file says may be stale.
 */
final class Handover {

  private static final Logger LOG = Logger.getLogger(Handover.class.getName());
  private static final int PROCESSES = 2;

  private final Path folder;
  private int own = -1;
  /** Never closed: the lock lives as long as the process. */
  private FileChannel held;

  Handover(Path folder) {
    this.folder = folder;
  }

  /** Tells other processes from now on that this one serves. */
  void serving() {
    for (int place = 0; place < PROCESSES && own < 0; place++) {
      held = take(place);
      own = held == null ? -1 : place;
    }
  }

  boolean otherServes() {
    boolean other = false;
    for (int place = 0; place < PROCESSES && own >= 0; place++) {
      if (place != own) {
        FileChannel free = take(place);
        other |= free == null;
        release(free);
      }
    }
    return other;
  }

  /** The locked file, or null where another holds it or there is none to be had. */
  private FileChannel take(int place) {
    FileChannel file = null;
    try {
      file = FileChannel.open(folder.resolve("serving-" + place), StandardOpenOption.CREATE,
          StandardOpenOption.WRITE);
      FileLock lock = file.tryLock();
      if (lock != null) {
        return file;
      }
    } catch (OverlappingFileLockException e) {
      // Held, by this process.
    } catch (IOException e) {
      LOG.warning("cannot lock in " + folder + ": " + e.getMessage());
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
