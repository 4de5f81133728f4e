package quotagateway.scale;

import java.io.File;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;
import quotagateway.policy.GatewayPolicy;

/**
 * Another working copy, built by its own deploy/scale.sh. A sweep on it runs in a separate process,
 * whose class path starts with the classes of that copy and ends with its libraries.
 */
final class OtherVersion {

  private final Path copy;

  OtherVersion(Path copy) {
    this.copy = copy;
  }

  /** Returns the path from which this process loads the gateway's classes. */
  static String programClasses() {
    return GatewayPolicy.class.getProtectionDomain().getCodeSource().getLocation().getPath();
  }

  /**
   * Runs one sweep on the other version and waits for its end.
   *
   * @throws IOException if the copy is not built or the sweep fails
   */
  void run(Sweep sweep, List<String> arguments) throws IOException, InterruptedException {
    Path classes = copy.resolve("target/classes");
    if (!Files.isDirectory(classes)) {
      throw new IOException(copy + " is not built: no target/classes");
    }
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(ManagementFactory.getRuntimeMXBean().getInputArguments());
    command.add("-cp");
    command.add(
        classes
            + File.pathSeparator
            + copy.resolve("target/test-classes")
            + File.pathSeparator
            + remainingClassPath()
            + File.pathSeparator
            + libraryClassPath());
    command.add(ScaleCommand.class.getName());
    command.addAll(arguments);
    command.add(sweep.name());
    int exitCode = new ProcessBuilder(command).inheritIO().start().waitFor();
    if (exitCode != 0) {
      throw new IOException(sweep.name() + " of " + copy + " exited with status " + exitCode);
    }
  }

  private String libraryClassPath() throws IOException {
    Path list = copy.resolve("target/scale.classpath");
    return Files.exists(list) ? Files.readString(list).trim() : "";
  }

  private static String remainingClassPath() {
    Path own = Path.of(programClasses()).toAbsolutePath().normalize();
    return Arrays.stream(System.getProperty("java.class.path").split(File.pathSeparator))
        .filter(p -> !Path.of(p).toAbsolutePath().normalize().equals(own))
        .collect(Collectors.joining(File.pathSeparator));
  }
}
