package quotagateway.scale;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import quotagateway.endpoint.Endpoint;
import quotagateway.endpoint.EndpointState;
import quotagateway.testing.WireFormats;

/** The list of backends as discovery holds it, and the ways in which it changes. */
final class EndpointListModel {

  /** Zones of the target; backends are spread over them evenly. */
  static final int ZONES = 19;

  /** Backends of one cell, all in one zone: a handful. */
  private static final int CELL_SIZE = 4;

  private final SplittableRandom random;
  private final List<Backend> backends = new ArrayList<>();
  private final int port;
  private long version = 1;
  private int named;

  /** One backend of the list; a restarted or replaced one is another record. */
  record Backend(String name, int number, int zone, long startedMs, long id, long place) {
    String zoneName() {
      return "z" + zone;
    }

    int cell() {
      return zone + ZONES * (number / ZONES / CELL_SIZE);
    }
  }

  /** A list of that size; all backends listen at the port, each on an address of its own. */
  EndpointListModel(int size, int port, long seed) {
    this.random = new SplittableRandom(seed);
    this.port = port;
    for (int i = 0; i < size; i++) {
      int number = named++;
      backends.add(next(number, number % ZONES, 0));
    }
  }

  private Backend next(int number, int zone, long startedMs) {
    Backend unnumbered =
        new Backend(String.format("s-%08x", number * 0x9E3779B1), number, zone, startedMs, 0, 0);
    Endpoint read = read(unnumbered);
    return new Backend(unnumbered.name, number, zone, startedMs, read.id(), read.address());
  }

  /**
   * With the numbers that the program makes of the name and of the address, told by the program
   * itself.
   */
  private Endpoint read(Backend backend) {
    String text = message(false, List.of(new Change(backend, EndpointState.SERVING)));
    try {
      return WireFormats.readEndpointList(text.getBytes(StandardCharsets.UTF_8)).endpoints().get(0);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  List<Backend> backends() {
    return List.copyOf(backends);
  }

  int size() {
    return backends.size();
  }

  long version() {
    return version;
  }

  /** One change of an entry, in the order in which discovery tells them. */
  record Change(Backend backend, EndpointState phase) {}

  /** One backend drains, leaves, and another takes its place in its zone: three changes. */
  List<Change> replaceOne(long nowMs) {
    int place = random.nextInt(backends.size());
    Backend old = backends.get(place);
    Backend replacement = next(named++, old.zone(), nowMs);
    backends.set(place, replacement);
    return List.of(
        new Change(old, EndpointState.DRAINING),
        new Change(old, EndpointState.REMOVED),
        new Change(replacement, EndpointState.SERVING));
  }

  /** All entries of a zone, as they are when it goes or returns; the list itself keeps them. */
  List<Change> zone(int zone, EndpointState phase) {
    return backends.stream().filter(c -> c.zone() == zone).map(c -> new Change(c, phase)).toList();
  }

  static Endpoint entry(Change change) {
    Backend c = change.backend();
    return new Endpoint(
        c.id(), c.zoneName(), c.cell(), change.phase(), 1, c.startedMs(), c.place());
  }

  List<Endpoint> entries() {
    return backends.stream().map(c -> entry(new Change(c, EndpointState.SERVING))).toList();
  }

  /** The whole list as one message. */
  String wholeMessage() {
    return message(true, backends.stream().map(c -> new Change(c, EndpointState.SERVING)).toList());
  }

  /** Changes as the next message. */
  String changeMessage(List<Change> changes) {
    version++;
    return message(false, changes);
  }

  private String message(boolean full, List<Change> changes) {
    StringBuilder text = new StringBuilder(64 + 160 * changes.size());
    text.append("{\"version\":")
        .append(version)
        .append(",\"full\":")
        .append(full)
        .append(",\"servers\":[");
    String separator = "";
    for (Change change : changes) {
      text.append(separator);
      append(text, change);
      separator = ",";
    }
    return text.append("]}\n").toString();
  }

  private void append(StringBuilder text, Change change) {
    Backend c = change.backend();
    String state =
        switch (change.phase()) {
          case SERVING -> "active";
          case DRAINING -> "leaving";
          case REMOVED -> "left";
        };
    text.append("{\"id\":\"")
        .append(c.name())
        .append("\",\"addr\":\"127.")
        .append(c.number() >> 16 & 255)
        .append('.')
        .append(c.number() >> 8 & 255)
        .append('.')
        .append(1 + c.number() % 254)
        .append(':')
        .append(port)
        .append("\",\"zone\":\"")
        .append(c.zoneName())
        .append("\",\"kind\":\"m2\",\"cell\":")
        .append(c.cell())
        .append(",\"state\":\"")
        .append(state)
        .append("\",\"weight\":1.0,\"started_ms\":")
        .append(c.startedMs())
        .append('}');
  }
}
