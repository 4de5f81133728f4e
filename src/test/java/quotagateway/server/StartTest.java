package quotagateway.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import quotagateway.testing.EndpointListJson;
import quotagateway.testing.GatewayFixture;

/** What the program does at a start by the deploy file: a restarted gateway is missed meanwhile. */
@Timeout(60)
class StartTest {

  private static final String THRESHOLD = "-XX:Tier3InvocationThreshold=";

  private final GatewayFixture fixture = new GatewayFixture();

  @TempDir Path folder;

  @AfterEach
  void close() throws Exception {
    fixture.close();
  }

  /**
   * To register the buffers' events with the flight recorder took a fifth of a second of a whole
   * core.
   */
  @Test
  void startRegistersNoFlightRecorderEvents() throws Exception {
    Path log = folder.resolve("classes.log");
    start("-Xlog:class+load:file=" + log);
    List<String> loaded = Files.readAllLines(log);
    assertTrue(
        loaded.stream().anyMatch(l -> l.contains("quotagateway.server.WarmUp ")),
        "the start was seen");
    assertEquals(
        List.of(),
        loaded.stream()
            .filter(
                l ->
                    l.contains("io.netty.buffer.AllocateBufferEvent ")
                        || l.contains("jdk.jfr.internal.handlers."))
            .toList());
  }

  /**
   * By default the compiler leaves string concatenation to code that is generated at run time, for
   * each place when it is first reached.
   */
  @Test
  void stringConcatenationNeedsNoCodeGeneratedAtRunTime() throws Exception {
    try (InputStream code = WarmUp.class.getResourceAsStream("WarmUp.class")) {
      String text = new String(code.readAllBytes(), StandardCharsets.ISO_8859_1);
      assertTrue(text.contains("StringBuilder"), "it does put texts together");
      assertFalse(text.contains("makeConcatWithConstants"));
    }
  }

  /**
   * A warm-up that ends before the compiler has counted far enough leaves the compiling to the
   * first clients.
   */
  @Test
  void warmUpIsLongEnoughForTheCompilerThreshold() throws Exception {
    String option =
        options().stream().filter(o -> o.startsWith(THRESHOLD)).findFirst().orElse(THRESHOLD + 200);
    int calls = Integer.parseInt(option.substring(THRESHOLD.length()));
    assertTrue(10 * calls <= WarmUp.REQUESTS, calls + " calls of " + WarmUp.REQUESTS);
  }

  /** Starts the program at an address in use, so that it ends by itself instead of listening. */
  private void start(String option) throws IOException, InterruptedException {
    Path config = folder.resolve("config.json");
    try (ServerSocket taken = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      Files.writeString(
          config,
          fixture
              .config(EndpointListJson.entry("s-1", fixture.backend.port(), "active"))
              .replace("127.0.0.1:0", "127.0.0.1:" + taken.getLocalPort()));
      List<String> command = new ArrayList<>();
      command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
      command.addAll(options());
      command.addAll(
          List.of(
              option, "-cp", System.getProperty("java.class.path"), "quotagateway.Main", "serve"));
      ProcessBuilder program =
          new ProcessBuilder(command)
              .redirectErrorStream(true)
              .redirectOutput(folder.resolve("output").toFile());
      program.environment().put("GW_CONFIG", config.toString());
      assertEquals(1, program.start().waitFor(), "it cannot listen");
    }
  }

  /** The options of the run command that decide what is loaded and compiled. */
  private static List<String> options() throws IOException {
    return Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
        .filter(l -> l.startsWith("run ="))
        .flatMap(l -> Arrays.stream(l.split(" ")))
        .filter(o -> o.matches("-(Dio.netty.|XX:Tier).*"))
        .toList();
  }
}
