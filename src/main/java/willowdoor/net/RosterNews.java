package willowdoor.net;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import willowdoor.GatewayApi.BackendEntry;
import willowdoor.GatewayApi.RosterForm;
import willowdoor.JsonFields;

/** One message of discovery, or a piece of one; the version is 0 where it is not told. */
record RosterNews(long version, RosterForm form, List<BackendEntry> entries) {

  RosterNews(long version, boolean full, List<BackendEntry> entries) {
    this(version, full ? RosterForm.COMPLETE : RosterForm.CHANGES, entries);
  }

  /** Whether it is the whole list, or the end of one. */
  boolean full() {
    return form == RosterForm.COMPLETE;
  }

  /** The list of a configuration. */
  static RosterNews of(Map<String, Object> message) {
    List<BackendEntry> entries = new ArrayList<>();
    for (Map<String, Object> fields : JsonFields.children(message, "servers")) {
      RosterEntry entry = new RosterEntry();
      fields.forEach(
          (name, value) -> {
            if (value instanceof String text) {
              entry.text(name, text);
            } else if (value instanceof Number number) {
              entry.number(name, number.doubleValue());
            }
          });
      BackendEntry read = entry.read();
      if (read != null) {
        entries.add(read);
      }
    }
    return new RosterNews(
        (long) JsonFields.number(message, "version"),
        Boolean.TRUE.equals(message.get("full")),
        entries);
  }

  /** A numeric address and port, or null; names are not looked up, as there is no DNS. */
  static InetSocketAddress address(String text) {
    int colon = text.lastIndexOf(':');
    byte[] ip =
        colon < 0 ? null : NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
    try {
      int port = ip == null ? -1 : Integer.parseInt(text.substring(colon + 1));
      return port < 0 || port > 65_535
          ? null
          : new InetSocketAddress(InetAddress.getByAddress(ip), port);
    } catch (NumberFormatException | UnknownHostException e) {
      return null;
    }
  }
}
