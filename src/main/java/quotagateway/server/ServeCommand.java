package quotagateway.server;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import quotagateway.config.ConfigurationFile;
import quotagateway.config.GatewayConfig;
import quotagateway.config.InvalidConfigurationException;

/**
 * The command that serves clients until the process is told to end: the one place that knows the
 * environment and handles signals. SIGHUP reloads the configuration; SIGTERM shuts down gracefully.
 */
public final class ServeCommand {

  private static final String CONFIGURATION_VARIABLE = "GW_CONFIG";
  private static final String ADMIN_ADDRESS_VARIABLE = "GW_MGMT";

  private ServeCommand() {}

  /**
   * Starts the gateway and returns; its threads keep the process alive.
   *
   * @param environment of the process
   * @throws InvalidConfigurationException where the configuration cannot be read or served by
   * @throws IOException where SIGHUP cannot be handled, or the address cannot be listened on
   */
  public static void run(Map<String, String> environment)
      throws IOException, InterruptedException, InvalidConfigurationException {
    String fileName = environment.get(CONFIGURATION_VARIABLE);
    if (fileName == null) {
      throw new InvalidConfigurationException(CONFIGURATION_VARIABLE, "is not set");
    }
    Path file = Path.of(fileName);
    GatewayConfig config =
        ConfigurationFile.read(file).withAdminAddress(environment.get(ADMIN_ADDRESS_VARIABLE));
    Path sharedFolder = Path.of(System.getProperty("java.io.tmpdir"));
    GatewayServer.start(config, sharedFolder, server -> prepare(server, file, config));
  }

  /** Before clients are accepted, so that their requests are safe from the first one on. */
  private static void prepare(GatewayServer server, Path file, GatewayConfig config)
      throws IOException {
    ReloadSignal.handle(() -> server.reload(file));
    Runtime.getRuntime().addShutdownHook(new Thread(server::shutDownGracefully, "shutdown"));
    WarmUp warmUp = new WarmUp(config);
    warmUp.run(warmUp.timeLimitMs());
  }
}
