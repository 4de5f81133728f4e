package willowdoor.net;

import java.io.IOException;
import willowdoor.GatewayApi.Add;
import willowdoor.GatewayApi.Roster;
import willowdoor.GatewayApi.RosterForm;

/**
 * The program's own reading of discovery's messages and writing of the counter's calls, opened for the scale
 * tests, which have no sockets. Nothing else of this package is used there.
 */
public final class WireFormats {

  private WireFormats() {
  }

  /**
   * Reads one message of discovery, as a watch does.
   *
   * @param message one JSON object in UTF-8
   * @throws IOException where a watch would end: malformed, without a list, or beyond a limit of the reader
   */
  public static Roster roster(byte[] message) throws IOException {
    RosterNews news = RosterNews.parse(message);
    return new Roster(news.full() ? RosterForm.COMPLETE : RosterForm.CHANGES, news.entries());
  }

  /** The line of one call to the counter, its end included. */
  public static String counterCall(Add call) {
    String amount = CounterClient.plain(call.amount());
    return "incr " + call.name() + ' ' + amount + ' ' + Math.max(1, (long) call.ttlMs()) + "\r\n";
  }
}
