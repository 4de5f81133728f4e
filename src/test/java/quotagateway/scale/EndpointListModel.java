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

/** A model of the endpoint list that discovery holds, with its changes and its messages. */
final class EndpointListModel {

  /** Number of zones in the target; backends are distributed evenly over them. */
  static final int ZONES = 19;

  /** Backends per cell; all of them are in one zone. */
  private static final int CELL_SIZE = 4;

  private final SplittableRandom random;
  private final List<Backend> backends = new ArrayList<>();
  private final int port;
  private long version = 1;
  private int nextNumber;

  /** One backend of the list; its replacement is a separate record. */
  record Backend(String name, int number, int zone, long startedMs, long id, long address) {
    String zoneName() {
      return "z" + zone;
    }

    int cell() {
      return zone + ZONES * (number / ZONES / CELL_SIZE);
    }
  }

  /** Creates a list of backends that listen on the same port, each on a separate address. */
  EndpointListModel(int size, int port, long seed) {
    this.random = new SplittableRandom(seed);
    this.port = port;
    for (int i = 0; i < size; i++) {
      int number = nextNumber++;
      backends.add(createBackend(number, number % ZONES, 0));
    }
  }

  private Backend createBackend(int number, int zone, long startedMs) {
    Backend unresolved =
        new Backend(String.format("s-%08x", number * 0x9E3779B1), number, zone, startedMs, 0, 0);
    Endpoint decoded = decode(unresolved);
    return new Backend(unresolved.name, number, zone, startedMs, decoded.id(), decoded.address());
  }

  /**
   * Decodes the entry of a backend with the gateway's reader, which derives the numeric id and
   * address.
   */
  private Endpoint decode(Backend backend) {
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

  /** A change of one entry. */
  record Change(Backend backend, EndpointState state) {}

  /**
   * Replaces a random backend by another in the same zone. Returns the three changes in order: the
   * old backend drains, the old backend is removed, the replacement serves.
   */
  List<Change> replaceRandomBackend(long nowMs) {
    int index = random.nextInt(backends.size());
    Backend old = backends.get(index);
    Backend replacement = createBackend(nextNumber++, old.zone(), nowMs);
    backends.set(index, replacement);
    return List.of(
        new Change(old, EndpointState.DRAINING),
        new Change(old, EndpointState.REMOVED),
        new Change(replacement, EndpointState.SERVING));
  }

  /** Returns changes of all backends of a zone to a state, without changing the list itself. */
  List<Change> zoneChanges(int zone, EndpointState state) {
    return backends.stream()
        .filter(backend -> backend.zone() == zone)
        .map(backend -> new Change(backend, state))
        .toList();
  }

  static Endpoint entry(Change change) {
    Backend backend = change.backend();
    return new Endpoint(
        backend.id(),
        backend.zoneName(),
        backend.cell(),
        change.state(),
        1,
        backend.startedMs(),
        backend.address());
  }

  List<Endpoint> entries() {
    return backends.stream()
        .map(backend -> entry(new Change(backend, EndpointState.SERVING)))
        .toList();
  }

  /** Returns the complete list as a snapshot message. */
  String snapshotMessage() {
    return message(
        true,
        backends.stream().map(backend -> new Change(backend, EndpointState.SERVING)).toList());
  }

  /** Increments the version and returns a delta message with the changes. */
  String deltaMessage(List<Change> changes) {
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
    Backend backend = change.backend();
    String state =
        switch (change.state()) {
          case SERVING -> "active";
          case DRAINING -> "leaving";
          case REMOVED -> "left";
        };
    text.append("{\"id\":\"")
        .append(backend.name())
        .append("\",\"addr\":\"127.")
        .append(backend.number() >> 16 & 255)
        .append('.')
        .append(backend.number() >> 8 & 255)
        .append('.')
        .append(1 + backend.number() % 254)
        .append(':')
        .append(port)
        .append("\",\"zone\":\"")
        .append(backend.zoneName())
        .append("\",\"kind\":\"m2\",\"cell\":")
        .append(backend.cell())
        .append(",\"state\":\"")
        .append(state)
        .append("\",\"weight\":1.0,\"started_ms\":")
        .append(backend.startedMs())
        .append('}');
  }
}
