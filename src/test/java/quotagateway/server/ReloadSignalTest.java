package quotagateway.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardWatchEventKinds;
import java.nio.file.WatchKey;
import java.nio.file.WatchService;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import quotagateway.testing.EndpointListJson;
import quotagateway.testing.GatewayFixture;
import quotagateway.testing.TestQueues;

/**
 * Starts the program from a shell that ignores SIGHUP, as nohup and some supervisors do. A process
 * inherits this disposition, and the JVM then never handles the signal, so a reload would be
 * silently ignored.
 */
@Timeout(60)
class ReloadSignalTest {

  private static final long TIMEOUT_SECONDS = 20;

  /**
   * Matches the launcher, which is the part of the deploy file's run command between exec and java.
   */
  private static final Pattern RUN_COMMAND = Pattern.compile("run = \"exec (.*?)java .*");

  private final GatewayFixture before = new GatewayFixture();
  private final GatewayFixture after = new GatewayFixture();
  private Process program;

  @TempDir private Path tempFolder;

  @AfterEach
  void close() throws Exception {
    if (program != null) {
      program.destroyForcibly();
      program.waitFor(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }
    before.close();
    after.close();
  }

  @Test
  void sighupReloadsAlthoughItWasIgnoredAtStart() throws Exception {
    start(launcher());
    awaitServing();
    TestQueues.next(before.discovery.watches);
    Files.writeString(configFile(), config(after));
    sendSighup();
    assertTrue(TestQueues.next(after.discovery.watches).contains("index=7 "), this::output);
  }

  @Test
  void startFailsWhenSighupStaysIgnored() throws Exception {
    start("");
    assertFailedStart(
        "quota-gateway: cannot serve: SIGHUP cannot be handled: it was ignored when the program"
            + " started; start it by env --default-signal=HUP");
  }

  /**
   * With {@code -Xrs} the JVM leaves the signal to its default action, which would end the program.
   */
  @Test
  void startFailsWhenTheJvmForbidsSignalHandlers() throws Exception {
    start(launcher(), "-Xrs");
    assertFailedStart(
        "quota-gateway: cannot serve: SIGHUP cannot be handled: Signal already used by VM or OS:"
            + " SIGHUP");
  }

  private void assertFailedStart(String expectedLine) throws Exception {
    assertTrue(program.waitFor(TIMEOUT_SECONDS, TimeUnit.SECONDS), "the program has not exited");
    assertEquals(1, program.exitValue(), this::output);
    assertTrue(output().lines().anyMatch(expectedLine::equals), this::output);
  }

  /** Starts the program with the given launcher from a shell in which SIGHUP is ignored. */
  private void start(String launcher, String... options) throws IOException {
    Files.writeString(configFile(), config(before));
    List<String> command =
        new ArrayList<>(
            List.of(
                "sh",
                "-c",
                "trap '' HUP; exec " + launcher + "\"$@\"",
                "sh",
                Path.of(System.getProperty("java.home"), "bin", "java").toString()));
    command.addAll(List.of(options));
    command.addAll(
        List.of(
            "-Djava.io.tmpdir=" + tempFolder,
            "-cp",
            System.getProperty("java.class.path"),
            "quotagateway.Main",
            "serve"));
    ProcessBuilder builder =
        new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(outputFile().toFile());
    builder.environment().put("GW_CONFIG", configFile().toString());
    builder.environment().remove("GW_MGMT");
    program = builder.start();
  }

  private static String launcher() throws IOException {
    for (String line : Files.readAllLines(Path.of("deploy/balancer.toml"))) {
      Matcher matcher = RUN_COMMAND.matcher(line);
      if (matcher.matches()) {
        return matcher.group(1);
      }
    }
    throw new AssertionError("no run command of the form \"exec ... java ...\" in the deploy file");
  }

  /**
   * Waits until the program accepts clients. It installs the signal handler before that, and
   * creates a lock file in its folder when it begins to serve.
   */
  private void awaitServing() throws Exception {
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
    try (WatchService changes = tempFolder.getFileSystem().newWatchService()) {
      tempFolder.register(changes, StandardWatchEventKinds.ENTRY_CREATE);
      while (!Files.exists(tempFolder.resolve("serving-0"))) {
        assertTrue(
            program.isAlive() && System.nanoTime() < deadline,
            () -> "the program does not serve: " + output());
        WatchKey change = changes.poll(1, TimeUnit.SECONDS);
        if (change != null) {
          change.reset();
        }
      }
    }
  }

  private void sendSighup() throws Exception {
    Process kill = new ProcessBuilder("sh", "-c", "kill -HUP " + program.pid()).start();
    assertTrue(kill.waitFor(TIMEOUT_SECONDS, TimeUnit.SECONDS));
    assertEquals(0, kill.exitValue());
  }

  private static String config(GatewayFixture fixture) {
    return fixture.config(EndpointListJson.entry("s-1", fixture.backend.port(), "active"));
  }

  private Path configFile() {
    return tempFolder.resolve("config.json");
  }

  private Path outputFile() {
    return tempFolder.resolve("output");
  }

  private String output() {
    try {
      return Files.readString(outputFile());
    } catch (IOException e) {
      return "no output: " + e.getMessage();
    }
  }
}
