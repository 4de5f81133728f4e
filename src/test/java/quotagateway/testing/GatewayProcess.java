package quotagateway.testing;

import java.io.Closeable;
import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** The real gateway as a process of its own, and what the system tells of it. */
public final class GatewayProcess implements Closeable {

  private static final String DEPLOY_FILE = "deploy/balancer.toml";

  /** The kernel's clock ticks in /proc/PID/stat. */
  private static final double MS_PER_TICK = 10;

  private static final int USER_TICKS = 13;
  private static final int SYSTEM_TICKS = 14;
  private static final int KIB_PER_MIB = 1024;

  private final Process process;

  /**
   * Starts it.
   *
   * @param command by which; see {@link #commandOf} and {@link #deployedCommand}
   * @param environment in addition to this process's own
   * @param log what it writes, appended
   */
  public GatewayProcess(List<String> command, Map<String, String> environment, Path log)
      throws IOException {
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.environment().remove("GW_MGMT");
    builder.environment().putAll(environment);
    builder
        .redirectErrorStream(true)
        .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
    process = builder.start();
  }

  /** Runs those classes, with this process's libraries and the options of the run line. */
  public static List<String> commandOf(String programClasses, Path temporaryFolder)
      throws IOException {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(options());
    command.add("-Djava.io.tmpdir=" + temporaryFolder);
    command.add("-cp");
    command.add(programClasses + File.pathSeparator + libraries());
    command.addAll(List.of("quotagateway.Main", "serve"));
    return command;
  }

  /** Runs the built jar by the deploy file's run line, whose folder is TMPDIR. */
  public static List<String> deployedCommand() throws IOException {
    String line = runLine();
    String quoted = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
    return List.of("sh", "-c", quoted.replace("\\\"", "\""));
  }

  private static String runLine() throws IOException {
    return Files.readAllLines(Path.of(DEPLOY_FILE)).stream()
        .filter(line -> line.startsWith("run"))
        .findFirst()
        .orElseThrow(() -> new IOException(DEPLOY_FILE + " has no run line"));
  }

  /** The options of the run line, but for those that name files of a deployed copy. */
  private static List<String> options() throws IOException {
    return Arrays.stream(runLine().split(" "))
        .filter(word -> word.startsWith("-X") || word.startsWith("-D"))
        .filter(word -> !word.contains("SharedArchiveFile") && !word.contains("tmpdir"))
        .toList();
  }

  private static String libraries() {
    return Arrays.stream(System.getProperty("java.class.path").split(File.pathSeparator))
        .filter(path -> path.endsWith(".jar"))
        .collect(Collectors.joining(File.pathSeparator));
  }

  public boolean isAlive() {
    return process.isAlive();
  }

  /** The exit status of a process that has ended; 128 and the number for one that was killed. */
  public int exitStatus() {
    return process.exitValue();
  }

  /** Waits for its end; false where it has not ended by then. */
  public boolean awaitEnd(long timeoutMs) throws InterruptedException {
    return process.waitFor(timeoutMs, TimeUnit.MILLISECONDS);
  }

  /** Sends a signal, such as TERM; one that has ended gets none. */
  public void signal(String name) throws IOException, InterruptedException {
    new ProcessBuilder("sh", "-c", "kill -" + name + " " + process.pid())
        .redirectErrorStream(true)
        .redirectOutput(ProcessBuilder.Redirect.DISCARD)
        .start()
        .waitFor();
  }

  /** Processor time of the process until now, in milliseconds, to a hundredth of a second. */
  public double cpuMs() throws IOException {
    String stat = Files.readString(proc("stat"));
    String[] fields = stat.substring(stat.lastIndexOf(')')).split(" ", -1);
    // The name, which may hold spaces, and the number before it are cut off.
    return MS_PER_TICK
        * (Long.parseLong(fields[USER_TICKS - 1]) + Long.parseLong(fields[SYSTEM_TICKS - 1]));
  }

  /** The most memory that it had at a time, in MiB. */
  public double peakMemoryMb() throws IOException {
    return statusFigure("VmHWM") / KIB_PER_MIB;
  }

  /** Threads that it has. */
  public int threads() throws IOException {
    return (int) statusFigure("Threads");
  }

  /** Descriptors that it has open. */
  public int descriptors() throws IOException {
    try (Stream<Path> open = Files.list(proc("fd"))) {
      return (int) open.count();
    }
  }

  private double statusFigure(String name) throws IOException {
    return Files.readAllLines(proc("status")).stream()
        .filter(line -> line.startsWith(name + ":"))
        .mapToDouble(line -> Double.parseDouble(line.replaceAll("[^0-9]", "")))
        .findFirst()
        .orElse(Double.NaN);
  }

  private Path proc(String file) {
    return Path.of("/proc", Long.toString(process.pid()), file);
  }

  /** Kills it, and waits until it is gone. */
  @Override
  public void close() {
    process.destroyForcibly();
    try {
      process.waitFor(10, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
