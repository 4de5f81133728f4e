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
 * Reads the messages of a watch, in JSON, as their bytes arrive, and passes each on once it is
 * complete: one that is cut off or malformed changes nothing. Until then its endpoints are kept in
 * memory, not its text, as only the end of a message shows its version and whether it is a
 * snapshot. Not thread-safe: belongs to the event loop of its watch.
 */
public final class EndpointListReader {

  private static final JsonFactory JSON = new JsonFactory();

  /** How many objects and arrays enclose a message. */
  private static final int OUTSIDE_DEPTH = 0;

  /** How many enclose the fields of a message. */
  private static final int MESSAGE_DEPTH = 1;

  /** How many enclose the elements of its list. */
  private static final int LIST_DEPTH = 2;

  /** How many enclose the fields of an entry of the list. */
  private static final int ENTRY_DEPTH = 3;

  private final int maxEndpoints;
  private final Consumer<EndpointUpdate> listener;
  private final JsonParser parser;
  private final ByteArrayFeeder feeder;
  private int depth;
  private String field;

  // Of the message that is being read.

  private long version;
  private boolean snapshot;
  private boolean listFound;
  private boolean inList;
  private int entryCount;
  private List<Endpoint> endpoints = new ArrayList<>();

  /** The entry that is being read, or null. */
  private EndpointBuilder entry;

  /**
   * Creates a reader of one stream.
   *
   * @param maxEndpoints entries of the longest list that is accepted
   * @param listener gets each complete message
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
   * @throws InvalidEndpointListException where a message cannot be accepted; the reader is of no
   *     use then
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

  /** Whether a message has begun to arrive and is not complete. */
  boolean hasPartialMessage() {
    return depth > OUTSIDE_DEPTH;
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
    } else if (depth == OUTSIDE_DEPTH) {
      throw new InvalidEndpointListException("a message that is no object");
    } else if (depth == MESSAGE_DEPTH) {
      onMessageField(token);
    } else if (depth == ENTRY_DEPTH && entry != null) {
      entry.set(field, token, parser);
    }
  }

  private void onFieldName() throws IOException {
    if (depth == MESSAGE_DEPTH || depth == ENTRY_DEPTH) {
      field = parser.currentName();
    }
  }

  /** An object or array starts; the depth is that of what encloses it. */
  private void onStructureStart(JsonToken token) throws InvalidEndpointListException {
    boolean isObject = token == JsonToken.START_OBJECT;
    if (depth == OUTSIDE_DEPTH && !isObject) {
      throw new InvalidEndpointListException("a message that is no object");
    } else if (depth == OUTSIDE_DEPTH) {
      version = EndpointUpdate.NO_VERSION;
      snapshot = false;
      listFound = false;
      entryCount = 0;
    } else if (depth == MESSAGE_DEPTH && !isObject && field.equals(DiscoveryProtocol.SERVERS)) {
      inList = true;
      listFound = true;
    } else if (depth == LIST_DEPTH && inList && isObject) {
      entry = new EndpointBuilder();
    }
  }

  private void onMessageField(JsonToken token) throws IOException {
    if (field.equals(DiscoveryProtocol.VERSION) && token.isNumeric()) {
      version = (long) parser.getDoubleValue();
    } else if (field.equals(DiscoveryProtocol.FULL)) {
      snapshot = token == JsonToken.VALUE_TRUE;
    }
  }

  /** An object or array has ended; the depth is that of what encloses it. */
  private void onStructureEnd() throws InvalidEndpointListException {
    if (depth == LIST_DEPTH && entry != null) {
      addEntry(entry.build());
      entry = null;
    } else if (depth == MESSAGE_DEPTH) {
      inList = false;
    } else if (depth == OUTSIDE_DEPTH) {
      onMessageEnd();
    }
  }

  private void onMessageEnd() throws InvalidEndpointListException {
    if (!listFound) {
      // Prevents a snapshot without a list, which is junk, from removing every endpoint: requests
      // would have nowhere to go.
      throw new InvalidEndpointListException("a message without a list");
    }
    List<Endpoint> complete = endpoints;
    endpoints = new ArrayList<>();
    listener.accept(new EndpointUpdate(version, snapshot, complete));
  }

  private void addEntry(Endpoint endpoint) throws InvalidEndpointListException {
    entryCount++;
    if (entryCount > maxEndpoints) {
      throw new InvalidEndpointListException("a list of more than " + maxEndpoints + " backends");
    }
    // One entry that cannot be used must not hide the others, above all not those that drain.
    if (endpoint != null) {
      endpoints.add(endpoint);
    }
  }
}
