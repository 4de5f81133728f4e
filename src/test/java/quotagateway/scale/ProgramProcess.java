package quotagateway.scale;

import java.io.Closeable;
import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/** The real gateway as a process of its own, started with the options of deploy/balancer.toml. */
final class ProgramProcess implements Closeable {

  /** The kernel's clock ticks in /proc/PID/stat. */
  private static final double MS_PER_TICK = 10;

  private static final int USER_TICKS = 13;
  private static final int SYSTEM_TICKS = 14;

  private final Process process;
  private final Path folder;
  private final InetSocketAddress listen;

  /** Starts it with those classes; its discovery's agent listens on loopback at the port. */
  ProgramProcess(String programClasses, int agentPort) throws IOException {
    folder = Files.createTempDirectory("scale-gateway");
    listen = new InetSocketAddress(InetAddress.getLoopbackAddress(), freePort());
    Path config = folder.resolve("config.json");
    Files.writeString(config, config(agentPort));
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(options());
    command.add("-Djava.io.tmpdir=" + folder);
    command.add("-cp");
    command.add(programClasses + File.pathSeparator + libraries());
    command.addAll(List.of("quotagateway.Main", "serve"));
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.environment().put("GW_CONFIG", config.toString());
    builder.redirectErrorStream(true).redirectOutput(folder.resolve("log").toFile());
    process = builder.start();
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0)) {
      return socket.getLocalPort();
    }
  }

  /** The options of the run line, but for those that name files of a deployed copy. */
  private static List<String> options() throws IOException {
    String run =
        Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
            .filter(line -> line.startsWith("run"))
            .findFirst()
            .orElse("");
    return Arrays.stream(run.split(" "))
        .filter(word -> word.startsWith("-X") || word.startsWith("-D"))
        .filter(word -> !word.contains("SharedArchiveFile") && !word.contains("tmpdir"))
        .toList();
  }

  private static String libraries() {
    return Arrays.stream(System.getProperty("java.class.path").split(File.pathSeparator))
        .filter(path -> path.endsWith(".jar"))
        .collect(Collectors.joining(File.pathSeparator));
  }

  private String config(int agentPort) {
    return """
        {"name":"n0","listen":"127.0.0.1:%d","discovery":"127.0.0.1:%d","seed":"1",
         "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
         "known":{"version":1,"full":true,"servers":[]},
         "settings":{"Balancers":2000,"SelfIndex":0,"MyZone":"z0","Discovery":"push",
          "Bounds":{"MaxAttempts":6,"Cancel":true,"MaxOpen":1000,"DialTimeoutMs":250,"ConnIdleMs":30000},
          "Extra":{"Counter":false,"CountLimitMs":50,"MaxUnits":8},
          "Rules":{"AnswerSlackMs":8,"ColdFrom":0.2,"ColdMs":9000,"TipMultiple":3,"TipAfterMs":2000},
          "Profiles":[{"Name":"quote","Repeat":"pure","AimMs":1500,"DeadlineMs":4000,"Value":1,
           "Group":"all"}],
          "Tariffs":[{"Name":"basic","Refill":400,"PeakUnits":4000,"WorthFactor":1,"OverrunCost":1}]}}
        """
        .formatted(listen.getPort(), agentPort);
  }

  InetSocketAddress address() {
    return listen;
  }

  boolean alive() {
    return process.isAlive();
  }

  /** Processor time of the process until now, in milliseconds, to a hundredth of a second. */
  double cpuMs() throws IOException {
    String stat = Files.readString(Path.of("/proc", Long.toString(process.pid()), "stat"));
    String[] fields = stat.substring(stat.lastIndexOf(')')).split(" ", -1);
    // The name, which may hold spaces, and the number before it are cut off.
    return MS_PER_TICK
        * (Long.parseLong(fields[USER_TICKS - 1]) + Long.parseLong(fields[SYSTEM_TICKS - 1]));
  }

  /** The most memory that it had at a time, in MiB. */
  double peakMemoryMb() throws IOException {
    return Files.readAllLines(Path.of("/proc", Long.toString(process.pid()), "status")).stream()
        .filter(line -> line.startsWith("VmHWM"))
        .mapToDouble(line -> Double.parseDouble(line.replaceAll("[^0-9]", "")) / 1024)
        .findFirst()
        .orElse(Double.NaN);
  }

  @Override
  public void close() throws IOException {
    process.destroyForcibly();
    try {
      process.waitFor(10, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    try (var files = Files.list(folder)) {
      for (Path file : files.toList()) {
        Files.deleteIfExists(file);
      }
    }
    Files.deleteIfExists(folder);
  }
}
