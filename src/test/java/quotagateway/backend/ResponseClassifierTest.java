package quotagateway.backend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import quotagateway.policy.event.Status;

/** Tests the mapping of response heads to statuses. */
class ResponseClassifierTest {

  private static HttpResponse response(int status, String... headers) {
    HttpResponse response =
        new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
    for (int i = 0; i < headers.length; i += 2) {
      response.headers().set(headers[i], headers[i + 1]);
    }
    return response;
  }

  @ParameterizedTest
  @CsvSource({
    "200,0,OK",
    "200,1,OK",
    "500,0,ERROR",
    "500,1,ERROR",
    "503,0,ERROR",
    "503,1,REJECTED",
    "504,1,REJECTED",
    "504,0,ERROR",
    "404,1,ERROR",
    "204,0,ERROR"
  })
  void mapsCodeAndNotStartedHeaderToStatus(int code, String notStarted, Status expected) {
    assertEquals(expected, ResponseClassifier.classify(response(code, "Not-Started", notStarted)));
  }

  /** A 503 without the header does not prove that the request was not executed. */
  @Test
  void classifies503WithoutNotStartedHeaderAsError() {
    assertEquals(Status.ERROR, ResponseClassifier.classify(response(503)));
  }

  @Test
  void endIsKnownFromContentLengthChunkedEncodingOrAnnouncedClose() {
    assertTrue(ResponseClassifier.hasKnownEnd(response(200, "Content-Length", "5")));
    assertTrue(ResponseClassifier.hasKnownEnd(response(200, "Transfer-Encoding", "chunked")));
    assertTrue(ResponseClassifier.hasKnownEnd(response(200, "Connection", "close")));
    assertFalse(ResponseClassifier.isFramed(response(200, "Connection", "close")));
    assertFalse(ResponseClassifier.hasKnownEnd(response(200)));
  }

  @Test
  void responsesBelow200AreInformational() {
    assertTrue(ResponseClassifier.isInformational(response(100)));
    assertTrue(ResponseClassifier.isInformational(response(103)));
    assertFalse(ResponseClassifier.isInformational(response(200)));
  }
}
