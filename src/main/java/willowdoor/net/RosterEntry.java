package willowdoor.net;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import willowdoor.GatewayApi.BackendEntry;
import willowdoor.GatewayApi.Phase;

/**
 * The fields of one entry of a list as they are read; what is missing or of another kind is as
 * usual.
 */
final class RosterEntry {

  private String id = "";
  private String address = "";
  private String zone = "";
  private String state = "";
  private double cell;
  private double weight = 1;
  private double startedMs;

  /** Takes the value of a field that the parser is at. */
  void take(String field, JsonToken token, JsonParser parser) throws IOException {
    if (token == JsonToken.VALUE_STRING) {
      text(field, parser.getText());
    } else if (token.isNumeric()) {
      number(field, parser.getDoubleValue());
    }
  }

  void text(String field, String value) {
    switch (field) {
      case "id" -> id = value;
      case "addr" -> address = value;
      case "zone" -> zone = value;
      case "state" -> state = value;
      default -> {}
    }
  }

  void number(String field, double value) {
    switch (field) {
      case "cell" -> cell = value;
      case "weight" -> weight = value;
      case "started_ms" -> startedMs = value;
      default -> {}
    }
  }

  /** The entry, or null where it cannot be used. */
  BackendEntry read() {
    Phase phase =
        switch (state) {
          case "active" -> Phase.SERVING;
          case "left" -> Phase.REMOVED;
          default -> Phase.DRAINING;
        };
    long place = Place.of(RosterNews.address(address));
    if (id.isEmpty() || place == BackendEntry.NOWHERE && phase == Phase.SERVING) {
      return null;
    }
    return new BackendEntry(hash(id), zone, (int) cell, phase, weight, startedMs, place);
  }

  /**
   * A backend's name as the number that the module knows it by: FNV-1a, alike at every front door.
   */
  private static long hash(String name) {
    long hash = 0xcbf29ce484222325L;
    for (byte b : name.getBytes(StandardCharsets.UTF_8)) {
      hash = (hash ^ b & 0xff) * 0x100000001b3L;
    }
    return hash >>> 1;
  }
}
