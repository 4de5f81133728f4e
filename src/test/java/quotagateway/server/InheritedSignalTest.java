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
 * The program is started by a shell that ignores SIGHUP, as nohup and some supervisors do. A
 * process inherits that, and the JVM then never handles the signal: a reload would be ignored in
 * silence.
 */
@Timeout(60)
class InheritedSignalTest {

  private static final long LIMIT_S = 20;

  /** What the run command of the deploy file puts between exec and java. */
  private static final Pattern LAUNCHER = Pattern.compile("run = \"exec (.*?)java .*");

  private final GatewayFixture before = new GatewayFixture();
  private final GatewayFixture after = new GatewayFixture();
  private Process program;

  @TempDir private Path folder;

  @AfterEach
  void close() throws Exception {
    if (program != null) {
      program.destroyForcibly();
      program.waitFor(LIMIT_S, TimeUnit.SECONDS);
    }
    before.close();
    after.close();
  }

  @Test
  void sighupReloadsThoughItWasIgnoredAtTheStart() throws Exception {
    start(launcher());
    awaitServing();
    TestQueues.next(before.discovery.watches);
    Files.writeString(configFile(), config(after));
    sendSighup();
    assertTrue(TestQueues.next(after.discovery.watches).contains("index=7 "), this::output);
  }

  @Test
  void startFailsWhereSighupStaysIgnored() throws Exception {
    start("");
    assertFailedStart(
        "quota-gateway: cannot serve: SIGHUP cannot be handled: it was ignored when the program"
            + " started; start it by env --default-signal=HUP");
  }

  /** With this option the JVM leaves the signal to the system, where it would end the program. */
  @Test
  void startFailsWhereTheJvmForbidsHandlers() throws Exception {
    start(launcher(), "-Xrs");
    assertFailedStart(
        "quota-gateway: cannot serve: SIGHUP cannot be handled: Signal already used by VM or OS:"
            + " SIGHUP");
  }

  private void assertFailedStart(String line) throws Exception {
    assertTrue(program.waitFor(LIMIT_S, TimeUnit.SECONDS), "it ends");
    assertEquals(1, program.exitValue(), this::output);
    assertTrue(output().lines().anyMatch(line::equals), this::output);
  }

  /** Starts the program as the deploy file does, by its launcher, where SIGHUP is ignored. */
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
            "-Djava.io.tmpdir=" + folder,
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
      Matcher run = LAUNCHER.matcher(line);
      if (run.matches()) {
        return run.group(1);
      }
    }
    throw new AssertionError("the deploy file's run command does not end by exec in java");
  }

  /**
   * Waits until it takes clients, by when it handles the signal; it locks a file of its folder
   * then.
   */
  private void awaitServing() throws Exception {
    long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(LIMIT_S);
    try (WatchService changes = folder.getFileSystem().newWatchService()) {
      folder.register(changes, StandardWatchEventKinds.ENTRY_CREATE);
      while (!Files.exists(folder.resolve("serving-0"))) {
        assertTrue(program.isAlive() && System.nanoTime() < until, () -> "it serves: " + output());
        WatchKey change = changes.poll(1, TimeUnit.SECONDS);
        if (change != null) {
          change.reset();
        }
      }
    }
  }

  private void sendSighup() throws Exception {
    Process kill = new ProcessBuilder("sh", "-c", "kill -HUP " + program.pid()).start();
    assertTrue(kill.waitFor(LIMIT_S, TimeUnit.SECONDS));
    assertEquals(0, kill.exitValue());
  }

  private static String config(GatewayFixture fixture) {
    return fixture.config(EndpointListJson.entry("s-1", fixture.backend.port(), "active"));
  }

  private Path configFile() {
    return folder.resolve("config.json");
  }

  private Path outputFile() {
    return folder.resolve("output");
  }

  private String output() {
    try {
      return Files.readString(outputFile());
    } catch (IOException e) {
      return "no output: " + e.getMessage();
    }
  }
}
