package quotagateway.discovery;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.async.ByteArrayFeeder;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import quotagateway.endpoint.Endpoint;

/**
 * Incremental parser for the JSON messages of a watch. Passes on each message once it is complete,
 * so that a message that is truncated or malformed has no effect. Keeps the endpoints of an
 * incomplete message in memory instead of its text, since only the end of a message shows its
 * version and whether it is a snapshot. Not thread-safe: belongs to the event loop of its watch.
 */
public final class EndpointListReader {

  private static final JsonFactory JSON = new JsonFactory();

  /** Number of objects and arrays that enclose a message. */
  private static final int TOP_LEVEL_DEPTH = 0;

  /** Number of objects and arrays that enclose the fields of a message. */
  private static final int MESSAGE_DEPTH = 1;

  /** Number of objects and arrays that enclose the elements of the endpoint list. */
  private static final int LIST_DEPTH = 2;

  /** Number of objects and arrays that enclose the fields of a list entry. */
  private static final int ENTRY_DEPTH = 3;

  private final int maxEndpoints;
  private final Consumer<EndpointUpdate> listener;
  private final JsonParser parser;
  private final ByteArrayFeeder feeder;
  private int depth;
  private String fieldName;

  // State of the message that is being read

  private long version;
  private boolean snapshot;
  private boolean listFound;
  private boolean inList;
  private int entryCount;
  private List<Endpoint> endpoints = new ArrayList<>();

  /** The builder of the list entry that is being read; null outside an entry. */
  private EndpointBuilder entryBuilder;

  /**
   * Creates a reader for one stream.
   *
   * @param maxEndpoints most entries that an accepted list may have
   * @param listener receives each complete message
   */
  public EndpointListReader(int maxEndpoints, Consumer<EndpointUpdate> listener) {
    this.maxEndpoints = maxEndpoints;
    this.listener = listener;
    try {
      parser = JSON.createNonBlockingByteArrayParser();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    feeder = (ByteArrayFeeder) parser.getNonBlockingInputFeeder();
  }

  /**
   * Reads the next bytes of the stream.
   *
   * @throws InvalidEndpointListException if a message is rejected; the reader must not be used
   *     afterwards
   */
  public void read(byte[] bytes) throws InvalidEndpointListException {
    try {
      feeder.feedInput(bytes, 0, bytes.length);
      JsonToken token = parser.nextToken();
      while (token != JsonToken.NOT_AVAILABLE) {
        onToken(token);
        token = parser.nextToken();
      }
    } catch (InvalidEndpointListException e) {
      throw e;
    } catch (IOException e) {
      throw new InvalidEndpointListException(e);
    }
  }

  /** Returns whether a message has begun to arrive but is incomplete. */
  boolean hasPartialMessage() {
    return depth > TOP_LEVEL_DEPTH;
  }

  private void onToken(JsonToken token) throws IOException {
    if (token.isStructStart()) {
      onStructureStart(token);
      depth++;
    } else if (token.isStructEnd()) {
      depth--;
      onStructureEnd();
    } else if (token == JsonToken.FIELD_NAME) {
      onFieldName();
    } else if (depth == TOP_LEVEL_DEPTH) {
      throw new InvalidEndpointListException("message is not a JSON object");
    } else if (depth == MESSAGE_DEPTH) {
      onMessageField(token);
    } else if (depth == ENTRY_DEPTH && entryBuilder != null) {
      entryBuilder.set(fieldName, token, parser);
    }
  }

  private void onFieldName() throws IOException {
    if (depth == MESSAGE_DEPTH || depth == ENTRY_DEPTH) {
      fieldName = parser.currentName();
    }
  }

  /**
   * Processes the start of an object or array. {@code depth} is that of the enclosing structure.
   */
  private void onStructureStart(JsonToken token) throws InvalidEndpointListException {
    boolean isObject = token == JsonToken.START_OBJECT;
    if (depth == TOP_LEVEL_DEPTH && !isObject) {
      throw new InvalidEndpointListException("message is not a JSON object");
    } else if (depth == TOP_LEVEL_DEPTH) {
      version = EndpointUpdate.NO_VERSION;
      snapshot = false;
      listFound = false;
      entryCount = 0;
    } else if (depth == MESSAGE_DEPTH && !isObject && fieldName.equals(DiscoveryProtocol.SERVERS)) {
      inList = true;
      listFound = true;
    } else if (depth == LIST_DEPTH && inList && isObject) {
      entryBuilder = new EndpointBuilder();
    }
  }

  private void onMessageField(JsonToken token) throws IOException {
    if (fieldName.equals(DiscoveryProtocol.VERSION) && token.isNumeric()) {
      version = (long) parser.getDoubleValue();
    } else if (fieldName.equals(DiscoveryProtocol.FULL)) {
      snapshot = token == JsonToken.VALUE_TRUE;
    }
  }

  /** Processes the end of an object or array. {@code depth} is that of the enclosing structure. */
  private void onStructureEnd() throws InvalidEndpointListException {
    if (depth == LIST_DEPTH && entryBuilder != null) {
      addEntry(entryBuilder.build());
      entryBuilder = null;
    } else if (depth == MESSAGE_DEPTH) {
      inList = false;
    } else if (depth == TOP_LEVEL_DEPTH) {
      onMessageEnd();
    }
  }

  private void onMessageEnd() throws InvalidEndpointListException {
    if (!listFound) {
      // If a snapshot without a list were accepted, it would remove every endpoint, and no request
      // could be forwarded.
      throw new InvalidEndpointListException("message has no endpoint list");
    }
    List<Endpoint> messageEndpoints = endpoints;
    endpoints = new ArrayList<>();
    listener.accept(new EndpointUpdate(version, snapshot, messageEndpoints));
  }

  private void addEntry(Endpoint endpoint) throws InvalidEndpointListException {
    entryCount++;
    if (entryCount > maxEndpoints) {
      throw new InvalidEndpointListException("list has more than " + maxEndpoints + " endpoints");
    }
    // An unusable entry must not hide the other entries, above all not the draining endpoints.
    if (endpoint != null) {
      endpoints.add(endpoint);
    }
  }
}
