package quotagateway.discovery;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import quotagateway.endpoint.Endpoint;
import quotagateway.endpoint.EndpointState;
import quotagateway.transport.BackendAddress;

/** Tests the parsing of messages whose bytes arrive in pieces of any length. */
class EndpointListReaderTest {

  private static final String FIRST =
      """
      {"version":41,"full":true,"more":{"servers":[{"id":"x"}]},"servers":[
        {"id":"s-1","addr":"10.1.0.18:7070","zone":"a","kind":"m2","cell":3,"state":"active","weight":1.5,
         "started_ms":1760000000000,"tags":["b",{"id":"s-7"}]}, 7, ["id","s-8"],
        {"id":"s-2","addr":"10.1.0.19:70","zone":"zé","cell":4,"state":"leaving","weight":1,"started_ms":0},
        {"addr":"10.1.0.18:7070","state":"active"}, {"id":"s-3","addr":"nowhere","state":"active"},
        {"id":"s-4","state":"left"}]}
      """;
  private static final String SECOND =
      """
      {"servers":[{"id":"s-2","state":"left","weight":"much"}],
       "full":false,"version":43}
      """;

  private final List<EndpointUpdate> received = new ArrayList<>();
  private final EndpointListReader reader = new EndpointListReader(5, received::add);

  private void read(String text, int pieceLength) throws IOException {
    byte[] bytes = text.getBytes(UTF_8);
    for (int offset = 0; offset < bytes.length; offset += pieceLength) {
      reader.read(Arrays.copyOfRange(bytes, offset, Math.min(bytes.length, offset + pieceLength)));
    }
  }

  private List<Endpoint> entries() {
    return received.stream().flatMap(update -> update.endpoints().stream()).toList();
  }

  @Test
  void readsSameMessagesForAnySplitOfTheBytes() throws IOException {
    read(FIRST + "\n\n" + SECOND, Integer.MAX_VALUE);
    assertEquals(2, received.size());
    List<Endpoint> expected = entries();
    assertEquals(4, expected.size());
    long encodedAddress = BackendAddress.encode(new InetSocketAddress("10.1.0.18", 7070));
    assertEquals(
        new Endpoint(
            expected.get(0).id(),
            "a",
            3,
            EndpointState.SERVING,
            1.5,
            1760000000000.0,
            encodedAddress),
        expected.get(0));
    assertEquals("zé", expected.get(1).zone());
    assertEquals(
        List.of(
            EndpointState.SERVING,
            EndpointState.DRAINING,
            EndpointState.REMOVED,
            EndpointState.REMOVED),
        expected.stream().map(Endpoint::state).toList());
    assertEquals(expected.get(1).id(), expected.get(3).id());
    for (int pieceLength = 1; pieceLength < 200; pieceLength++) {
      received.clear();
      read(FIRST + "\n\n" + SECOND, pieceLength);
      assertEquals(expected, entries());
      assertEquals(List.of(41L, 43L), received.stream().map(EndpointUpdate::version).toList());
      assertEquals(
          List.of(true, false), received.stream().map(EndpointUpdate::isSnapshot).toList());
      assertFalse(reader.hasPartialMessage());
    }
  }

  /**
   * The rest of a message may be invalid or never arrive, so nothing is passed on before the
   * message is complete.
   */
  @Test
  void passesOnNothingOfTruncatedOrMalformedMessage() throws IOException {
    int truncatedLength = FIRST.indexOf("{\"addr\"");
    read(FIRST.substring(0, truncatedLength), 40);
    assertTrue(reader.hasPartialMessage());
    assertEquals(List.of(), received);
    assertThrows(InvalidEndpointListException.class, () -> read("junk", 40));
    assertEquals(List.of(), received);
  }

  @Test
  void rejectsMessagesWithoutList() {
    for (String invalidMessage :
        new String[] {
          "[]",
          "7 ",
          "{\"version\":4}",
          "{\"servers\":{}}",
          "{\"servers\":[}",
          "{\"version\":4,\"servers\":7}",
          "<html>"
        }) {
      EndpointListReader newReader = new EndpointListReader(5, received::add);
      assertThrows(
          InvalidEndpointListException.class,
          () -> newReader.read(invalidMessage.getBytes(UTF_8)),
          invalidMessage);
    }
    assertEquals(List.of(), received);
  }

  /** If a list exceeds the memory limit, the part that fits must not be treated as a snapshot. */
  @Test
  void rejectsListWithMoreEndpointsThanLimit() {
    String entry = "{\"id\":\"s\",\"state\":\"leaving\"}";
    String list =
        "{\"version\":4,\"full\":true,\"servers\":[" + (entry + ",").repeat(5) + entry + "]}";
    String message =
        assertThrows(InvalidEndpointListException.class, () -> read(list, 40)).getMessage();
    assertTrue(message.contains("more than 5"), message);
    assertEquals(List.of(), received);
  }
}
