package quotagateway.scale;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import quotagateway.testing.GatewayProcess;
import quotagateway.testing.PortReservation;

/** The gateway in a separate process, started with the Java options of deploy/balancer.toml. */
final class ProgramProcess implements Closeable {

  private final PortReservation portReservation = new PortReservation();
  private final GatewayProcess process;
  private final Path folder;
  private final InetSocketAddress address;

  /** Starts the gateway from the given classes, with the discovery agent's port on loopback. */
  ProgramProcess(String programClasses, int agentPort) throws IOException {
    folder = Files.createTempDirectory("scale-gateway");
    address = portReservation.address();
    Path config = folder.resolve("config.json");
    Files.writeString(config, config(agentPort));
    process =
        new GatewayProcess(
            GatewayProcess.commandOf(programClasses, folder),
            Map.of("GW_CONFIG", config.toString()),
            folder.resolve("log"));
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
        .formatted(address.getPort(), agentPort);
  }

  InetSocketAddress address() {
    return address;
  }

  boolean isAlive() {
    return process.isAlive();
  }

  /** Returns the processor time that the process has used so far, in milliseconds. */
  double cpuMs() throws IOException {
    return process.cpuMs();
  }

  /** Returns the peak resident memory of the process in MiB. */
  double peakMemoryMb() throws IOException {
    return process.peakMemoryMb();
  }

  @Override
  public void close() throws IOException {
    process.close();
    portReservation.close();
    try (var files = Files.list(folder)) {
      for (Path file : files.toList()) {
        Files.deleteIfExists(file);
      }
    }
    Files.deleteIfExists(folder);
  }
}
