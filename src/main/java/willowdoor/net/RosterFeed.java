package willowdoor.net;

import java.util.ArrayDeque;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import willowdoor.GatewayApi.BackendEntry;
import willowdoor.GatewayApi.RosterForm;

/**
 * Hands messages of discovery on in their order, a long one in pieces, each in a turn of the event
 * loop of its own, so that requests do not wait until a long list is applied.
 */
final class RosterFeed {

  /**
   * Entries of one piece: applying one takes 10 us or less, so a piece takes about a millisecond.
   */
  static final int PIECE_ENTRIES = 128;

  private final Executor loop;
  private final Consumer<RosterNews> listener;
  private final ArrayDeque<RosterNews> pieces = new ArrayDeque<>();
  private boolean busy;

  RosterFeed(Executor loop, Consumer<RosterNews> listener) {
    this.loop = loop;
    this.listener = listener;
  }

  /**
   * Takes a whole message; one of a single piece is handed on at once, unless others are still
   * waiting.
   */
  void take(RosterNews news) {
    List<BackendEntry> entries = news.entries();
    int at = 0;
    for (; entries.size() - at > PIECE_ENTRIES; at += PIECE_ENTRIES) {
      pieces.add(new RosterNews(0, RosterForm.PART, entries.subList(at, at + PIECE_ENTRIES)));
    }
    pieces.add(new RosterNews(news.version(), news.form(), entries.subList(at, entries.size())));
    if (!busy) {
      handOn();
    }
  }

  private void handOn() {
    busy = true;
    listener.accept(pieces.poll());
    if (pieces.isEmpty()) {
      busy = false;
    } else {
      loop.execute(this::handOn);
    }
  }
}
