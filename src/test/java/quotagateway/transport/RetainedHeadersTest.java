package quotagateway.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests which header fields are kept, and that they are counted. */
class RetainedHeadersTest {

  private final RetainedHeaders.Factory factory =
      new RetainedHeaders.Factory(List.of(HttpHeaderNames.HOST));
  private final HttpHeaders headers = factory.newHeaders();

  /** A head of many short fields would take many times its bytes if all of them were kept. */
  @Test
  void otherFieldsTakeNoMemory() {
    for (int i = 0; i < 2_000; i++) {
      headers.add("H" + i, "1");
    }
    assertTrue(headers.isEmpty());
    assertEquals(0, factory.heldBytes());
  }

  @Test
  void retainedFieldsCountMoreThanTheirBytes() {
    headers.add("host", "x".repeat(100));
    assertEquals("x".repeat(100), headers.get("Host"));
    assertTrue(factory.heldBytes() > 100, factory.heldBytes() + " bytes");
  }

  /** A field that is dropped must be as valid as one that is kept. */
  @Test
  void invalidFieldsAreRejectedThoughTheyAreDropped() {
    assertThrows(IllegalArgumentException.class, () -> headers.add("a b", "1"));
    assertThrows(IllegalArgumentException.class, () -> headers.add("a", "1\u000b"));
  }

  /** The memory of a head is bounded, although a name may be repeated. */
  @Test
  void fieldRepeatedTooOftenIsRejected() {
    for (int i = 0; i < 16; i++) {
      headers.add("Host", "x");
    }
    assertThrows(IllegalArgumentException.class, () -> headers.add("Host", "x"));
  }
}
