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

/** The gateway in a separate process, with the resource usage that /proc reports for it. */
public final class GatewayProcess implements Closeable {

  private static final String DEPLOY_FILE = "deploy/balancer.toml";

  /** Length of a clock tick, the unit of processor time in /proc/PID/stat. */
  private static final double MS_PER_TICK = 10;

  private static final int USER_TIME_FIELD = 13;
  private static final int SYSTEM_TIME_FIELD = 14;
  private static final int KIB_PER_MIB = 1024;

  private final Process process;

  /**
   * Starts the process.
   *
   * @param command command line; see {@link #commandOf} and {@link #deployedCommand}
   * @param environment variables in addition to those of this process
   * @param log file to which standard output and standard error are appended
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

  /**
   * Returns a command that runs the given classes with this process's libraries and the Java
   * options of the deploy file's run line.
   */
  public static List<String> commandOf(String programClasses, Path temporaryFolder)
      throws IOException {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(javaOptions());
    command.add("-Djava.io.tmpdir=" + temporaryFolder);
    command.add("-cp");
    command.add(programClasses + File.pathSeparator + libraryClassPath());
    command.addAll(List.of("quotagateway.Main", "serve"));
    return command;
  }

  /** Returns the run line of the deploy file, which runs the built jar from the folder TMPDIR. */
  public static List<String> deployedCommand() throws IOException {
    String line = runLine();
    String command = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
    return List.of("sh", "-c", command.replace("\\\"", "\""));
  }

  private static String runLine() throws IOException {
    return Files.readAllLines(Path.of(DEPLOY_FILE)).stream()
        .filter(line -> line.startsWith("run"))
        .findFirst()
        .orElseThrow(() -> new IOException(DEPLOY_FILE + " has no run line"));
  }

  /** Returns the Java options of the run line, except those that name files of a deployment. */
  private static List<String> javaOptions() throws IOException {
    return Arrays.stream(runLine().split(" "))
        .filter(word -> word.startsWith("-X") || word.startsWith("-D"))
        .filter(word -> !word.contains("SharedArchiveFile") && !word.contains("tmpdir"))
        .toList();
  }

  private static String libraryClassPath() {
    return Arrays.stream(System.getProperty("java.class.path").split(File.pathSeparator))
        .filter(path -> path.endsWith(".jar"))
        .collect(Collectors.joining(File.pathSeparator));
  }

  public boolean isAlive() {
    return process.isAlive();
  }

  /**
   * Returns the exit status of the ended process: 128 plus the signal number if a signal ended it.
   */
  public int exitStatus() {
    return process.exitValue();
  }

  /** Waits for the process to end and returns whether it ended within the timeout. */
  public boolean awaitExit(long timeoutMs) throws InterruptedException {
    return process.waitFor(timeoutMs, TimeUnit.MILLISECONDS);
  }

  /** Sends a signal, such as TERM; does nothing if the process has ended. */
  public void signal(String name) throws IOException, InterruptedException {
    new ProcessBuilder("sh", "-c", "kill -" + name + " " + process.pid())
        .redirectErrorStream(true)
        .redirectOutput(ProcessBuilder.Redirect.DISCARD)
        .start()
        .waitFor();
  }

  /** Returns the processor time used so far in milliseconds, with a resolution of 10 ms. */
  public double cpuMs() throws IOException {
    String stat = Files.readString(procFile("stat"));
    String[] fields = stat.substring(stat.lastIndexOf(')')).split(" ", -1);
    // Starts at the end of the command name: the name may contain spaces, which would shift fields.
    return MS_PER_TICK
        * (Long.parseLong(fields[USER_TIME_FIELD - 1])
            + Long.parseLong(fields[SYSTEM_TIME_FIELD - 1]));
  }

  /** Returns the peak resident memory in MiB. */
  public double peakMemoryMb() throws IOException {
    return statusValue("VmHWM") / KIB_PER_MIB;
  }

  /** Returns the number of threads. */
  public int threads() throws IOException {
    return (int) statusValue("Threads");
  }

  /** Returns the number of open descriptors. */
  public int descriptors() throws IOException {
    try (Stream<Path> open = Files.list(procFile("fd"))) {
      return (int) open.count();
    }
  }

  private double statusValue(String name) throws IOException {
    return Files.readAllLines(procFile("status")).stream()
        .filter(line -> line.startsWith(name + ":"))
        .mapToDouble(line -> Double.parseDouble(line.replaceAll("[^0-9]", "")))
        .findFirst()
        .orElse(Double.NaN);
  }

  private Path procFile(String file) {
    return Path.of("/proc", Long.toString(process.pid()), file);
  }

  /** Kills the process and waits up to 10 s for its end. */
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
