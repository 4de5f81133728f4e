package willowdoor.net;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.logging.Logger;

/**
 * Whether another process of this front door has come as far as this one, as while one is upgraded. Each
 * holds a lock in the folder that both share: a lock ends with its holder, while what a file says may be
 * stale.
 */
final class Handover {

  private static final Logger LOG = Logger.getLogger(Handover.class.getName());
  private static final int PROCESSES = 2;

  private final Path folder;
  private final String state;
  private int own = -1;
  /** Never closed: the lock lives as long as the process. */
  private FileChannel held;

  /** The state is what the lock stands for: that a process has started, say, or that it serves. */
  Handover(Path folder, String state) {
    this.folder = folder;
    this.state = state;
  }

  /** Tells other processes from now on that this one is in the state. */
  void enter() {
    for (int place = 0; place < PROCESSES && own < 0; place++) {
      held = take(place);
      own = held == null ? -1 : place;
    }
  }

  /** Whether another process is in the state; only a process that is in it itself can tell. */
  boolean another() {
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
      file = FileChannel.open(folder.resolve(state + "-" + place), StandardOpenOption.CREATE,
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
