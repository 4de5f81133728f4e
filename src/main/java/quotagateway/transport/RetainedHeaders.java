package quotagateway.transport;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.util.AsciiString;
import java.util.List;

/**
 * Headers of a decoded message that keep only the names the gateway reads, and tell how much memory
 * they take. All other fields are validated and dropped: as an entry of the headers, a short field
 * takes many times its bytes.
 */
public final class RetainedHeaders extends DefaultHttpHeaders {

  /**
   * Memory of one entry: the entry, and the object and array of its value besides the characters.
   */
  private static final int ENTRY_BYTES = 96;

  /** Most fields with the same name; list-valued headers may be written as several fields. */
  private static final int MAX_FIELDS_PER_NAME = 16;

  private final List<AsciiString> names;
  private int heldBytes;

  private RetainedHeaders(List<AsciiString> names) {
    super(
        DefaultHttpHeadersFactory.headersFactory().getNameValidator(),
        DefaultHttpHeadersFactory.headersFactory().getValueValidator());
    this.names = names;
  }

  /** Returns the memory of the entries, in bytes. */
  public int heldBytes() {
    return heldBytes;
  }

  @Override
  public HttpHeaders add(String name, Object value) {
    return add((CharSequence) name, value);
  }

  /**
   * Adds a field that was received.
   *
   * @throws IllegalArgumentException if the field is invalid or repeated too often
   */
  @Override
  public HttpHeaders add(CharSequence name, Object value) {
    AsciiString retained = retainedName(name);
    if (retained == null) {
      DefaultHttpHeadersFactory.headersFactory().getNameValidator().validateName(name);
      DefaultHttpHeadersFactory.headersFactory().getValueValidator().validate((CharSequence) value);
      return this;
    }
    if (getAll(retained).size() >= MAX_FIELDS_PER_NAME) {
      throw new IllegalArgumentException(retained + " is repeated too often");
    }
    heldBytes += ENTRY_BYTES + ((CharSequence) value).length();
    return super.add((CharSequence) retained, value);
  }

  private AsciiString retainedName(CharSequence name) {
    for (AsciiString retained : names) {
      if (retained.contentEqualsIgnoreCase(name)) {
        return retained;
      }
    }
    return null;
  }

  /** Creates the headers of the messages of one connection. Confined to its event loop. */
  public static final class Factory implements HttpHeadersFactory {
    private final List<AsciiString> names;
    private RetainedHeaders newest;

    /**
     * Creates a factory.
     *
     * @param names the names that are kept; none for trailers that nobody reads
     */
    public Factory(List<AsciiString> names) {
      this.names = names;
      newest = new RetainedHeaders(names);
    }

    @Override
    public HttpHeaders newHeaders() {
      newest = new RetainedHeaders(names);
      return newest;
    }

    @Override
    public HttpHeaders newEmptyHeaders() {
      return newHeaders();
    }

    /** Returns the memory of the headers that were created last, in bytes. */
    public int heldBytes() {
      return newest.heldBytes();
    }
  }
}
