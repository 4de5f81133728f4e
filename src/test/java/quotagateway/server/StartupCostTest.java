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

/**
 * Tests the cost of a start with the JVM options of the deploy file, since a restarted gateway is
 * unavailable until it serves.
 */
@Timeout(60)
class StartupCostTest {

  private static final String THRESHOLD_OPTION = "-XX:Tier3InvocationThreshold=";

  private final GatewayFixture fixture = new GatewayFixture();

  @TempDir Path tempFolder;

  @AfterEach
  void close() throws Exception {
    fixture.close();
  }

  /**
   * Registering the events of Netty's buffers with Java Flight Recorder took 0.2 s of CPU time on
   * one core.
   */
  @Test
  void startRegistersNoFlightRecorderEvents() throws Exception {
    Path log = tempFolder.resolve("classes.log");
    start("-Xlog:class+load:file=" + log);
    List<String> loadLog = Files.readAllLines(log);
    assertTrue(
        loadLog.stream().anyMatch(line -> line.contains("quotagateway.server.WarmUp ")),
        "the class-loading log does not cover the start");
    assertEquals(
        List.of(),
        loadLog.stream()
            .filter(
                line ->
                    line.contains("io.netty.buffer.AllocateBufferEvent ")
                        || line.contains("jdk.jfr.internal.handlers."))
            .toList());
  }

  /**
   * By default javac compiles string concatenation to invokedynamic, whose code is generated at run
   * time when each call site is first reached.
   */
  @Test
  void stringConcatenationDoesNotGenerateCodeAtRunTime() throws Exception {
    try (InputStream code = WarmUp.class.getResourceAsStream("WarmUp.class")) {
      String text = new String(code.readAllBytes(), StandardCharsets.ISO_8859_1);
      assertTrue(text.contains("StringBuilder"), "WarmUp contains no string concatenation");
      assertFalse(text.contains("makeConcatWithConstants"));
    }
  }

  /**
   * If the warm-up made fewer calls than the compiler's threshold, compilation would be left to the
   * first clients' requests.
   */
  @Test
  void warmUpMakesTenTimesTheCallsOfTheCompilerThreshold() throws Exception {
    String thresholdOption =
        options().stream()
            .filter(option -> option.startsWith(THRESHOLD_OPTION))
            .findFirst()
            .orElse(THRESHOLD_OPTION + 200);
    int threshold = Integer.parseInt(thresholdOption.substring(THRESHOLD_OPTION.length()));
    assertTrue(10 * threshold <= WarmUp.REQUESTS, threshold + " calls of " + WarmUp.REQUESTS);
  }

  /** Starts the program with an address that is in use, so that it exits instead of listening. */
  private void start(String option) throws IOException, InterruptedException {
    Path config = tempFolder.resolve("config.json");
    try (ServerSocket boundSocket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      Files.writeString(
          config,
          fixture
              .config(EndpointListJson.entry("s-1", fixture.backend.port(), "active"))
              .replace("127.0.0.1:0", "127.0.0.1:" + boundSocket.getLocalPort()));
      List<String> command = new ArrayList<>();
      command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
      command.addAll(options());
      command.addAll(
          List.of(
              option, "-cp", System.getProperty("java.class.path"), "quotagateway.Main", "serve"));
      ProcessBuilder program =
          new ProcessBuilder(command)
              .redirectErrorStream(true)
              .redirectOutput(tempFolder.resolve("output").toFile());
      program.environment().put("GW_CONFIG", config.toString());
      assertEquals(1, program.start().waitFor(), "the program did not fail to listen");
    }
  }

  /** Returns the JVM options of the run command that affect class loading and compilation. */
  private static List<String> options() throws IOException {
    return Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
        .filter(line -> line.startsWith("run ="))
        .flatMap(line -> Arrays.stream(line.split(" ")))
        .filter(option -> option.matches("-(Dio.netty.|XX:Tier).*"))
        .toList();
  }
}
