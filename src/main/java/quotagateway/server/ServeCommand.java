package quotagateway.server;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import quotagateway.config.ConfigurationFile;
import quotagateway.config.GatewayConfig;
import quotagateway.config.InvalidConfigurationException;

/**
 * Implements the command that serves clients until the process is terminated. Only this class reads
 * the environment and registers signal handlers: SIGHUP reloads the configuration, and SIGTERM
 * shuts down gracefully.
 */
public final class ServeCommand {

  private static final String CONFIGURATION_VARIABLE = "GW_CONFIG";
  private static final String ADMIN_ADDRESS_VARIABLE = "GW_MGMT";

  private ServeCommand() {}

  /**
   * Starts the gateway and returns; its threads keep the process alive.
   *
   * @param environment the environment variables of the process
   * @throws InvalidConfigurationException if the configuration cannot be read or is invalid
   * @throws IOException if SIGHUP cannot be handled or the client address cannot be bound
   */
  public static void run(Map<String, String> environment)
      throws IOException, InterruptedException, InvalidConfigurationException {
    String configFileName = environment.get(CONFIGURATION_VARIABLE);
    if (configFileName == null) {
      throw new InvalidConfigurationException(CONFIGURATION_VARIABLE, "is not set");
    }
    Path file = Path.of(configFileName);
    GatewayConfig config =
        ConfigurationFile.read(file).withAdminAddress(environment.get(ADMIN_ADDRESS_VARIABLE));
    Path sharedFolder = Path.of(System.getProperty("java.io.tmpdir"));
    GatewayServer.start(
        config, sharedFolder, server -> installHandlersAndWarmUp(server, file, config));
  }

  /**
   * Installs the signal handlers and warms up before clients are accepted, so that no accepted
   * request is lost to a signal or served late by cold code.
   */
  private static void installHandlersAndWarmUp(
      GatewayServer server, Path file, GatewayConfig config) throws IOException {
    ReloadSignal.handle(() -> server.reload(file));
    Runtime.getRuntime().addShutdownHook(new Thread(server::shutDownGracefully, "shutdown"));
    WarmUp warmUp = new WarmUp(config);
    warmUp.run(warmUp.timeLimitMs());
  }
}
