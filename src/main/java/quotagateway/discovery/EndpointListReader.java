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
 * Reads the messages of a watch as their bytes come, entry by entry, and hands each on once it is
 * whole: one that is cut or spoilt changes nothing. Until then its entries are held, not its text.
 * Only the end of a message shows its version, and whether it is the whole list.
 */
public final class EndpointListReader {

  private static final JsonFactory JSON = new JsonFactory();
  private static final String LIST = "servers";

  /**
   * Depths of the fields of a message, of the elements of its list, and of the fields of an entry.
   */
  private static final int MESSAGE = 1;

  private static final int ELEMENT = 2;
  private static final int ENTRY = 3;

  private final int mostBackends;
  private final Consumer<EndpointUpdate> listener;
  private final JsonParser parser;
  private final ByteArrayFeeder feeder;
  private int depth;
  private String field;

  /** Of the message that is being read. */
  private long version;

  private boolean full;
  private boolean listed;
  private boolean inList;
  private int backends;
  private List<Endpoint> entries = new ArrayList<>();

  /** The entry that is being read, or null. */
  private EndpointFields entry;

  /** For lists of so many backends at most. */
  public EndpointListReader(int mostBackends, Consumer<EndpointUpdate> listener) {
    this.mostBackends = mostBackends;
    this.listener = listener;
    try {
      parser = JSON.createNonBlockingByteArrayParser();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    feeder = (ByteArrayFeeder) parser.getNonBlockingInputFeeder();
  }

  /**
   * Takes the next bytes; an IOException shows a message that cannot be taken: nothing can be read
   * then.
   */
  public void read(byte[] bytes) throws IOException {
    feeder.feedInput(bytes, 0, bytes.length);
    JsonToken token = parser.nextToken();
    while (token != JsonToken.NOT_AVAILABLE) {
      take(token);
      token = parser.nextToken();
    }
  }

  /** Whether part of a message has come whose rest has not. */
  boolean hasPartialMessage() {
    return depth > 0;
  }

  private void take(JsonToken token) throws IOException {
    if (token.isStructStart()) {
      begin(token);
      depth++;
    } else if (token.isStructEnd()) {
      depth--;
      finish();
    } else if (token == JsonToken.FIELD_NAME) {
      field = depth == MESSAGE || depth == ENTRY ? parser.currentName() : field;
    } else if (depth == 0) {
      throw new IOException("a message that is no object");
    } else if (depth == MESSAGE) {
      takeField(token);
    } else if (depth == ENTRY && entry != null) {
      entry.take(field, token, parser);
    }
  }

  private void begin(JsonToken token) throws IOException {
    boolean object = token == JsonToken.START_OBJECT;
    if (depth == 0 && !object) {
      throw new IOException("a message that is no object");
    } else if (depth == 0) {
      version = 0;
      full = false;
      listed = false;
      backends = 0;
    } else if (depth == MESSAGE && !object && field.equals(LIST)) {
      inList = true;
      listed = true;
    } else if (depth == ELEMENT && inList && object) {
      entry = new EndpointFields();
    }
  }

  private void takeField(JsonToken token) throws IOException {
    if (field.equals("version") && token.isNumeric()) {
      version = (long) parser.getDoubleValue();
    } else if (field.equals("full")) {
      full = token == JsonToken.VALUE_TRUE;
    }
  }

  /** An object or array has ended; the depth is that of what it is in. */
  private void finish() throws IOException {
    if (depth == ELEMENT && entry != null) {
      add(entry.read());
      entry = null;
    } else if (depth == MESSAGE) {
      inList = false;
    } else if (depth == 0 && !listed) {
      // Guards against a full list that names nothing because it is junk: the last list would be
      // gone.
      throw new IOException("a message without a list");
    } else if (depth == 0) {
      List<Endpoint> told = entries;
      entries = new ArrayList<>();
      listener.accept(new EndpointUpdate(version, full, told));
    }
  }

  private void add(Endpoint read) throws IOException {
    backends++;
    if (backends > mostBackends) {
      throw new IOException("a list of more than " + mostBackends + " backends");
    }
    // One entry that cannot be used must not keep the others from being told, drains above all.
    if (read != null) {
      entries.add(read);
    }
  }
}
