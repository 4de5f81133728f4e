package quotagateway.server;

import io.netty.channel.EventLoop;
import java.nio.file.Path;
import java.util.logging.Logger;
import quotagateway.client.RequestReader;
import quotagateway.config.ConfigurationFile;
import quotagateway.config.GatewayConfig;
import quotagateway.config.InvalidConfigurationException;

/**
 * Replaces the configuration of a running gateway, whole or not at all. What its sockets were set
 * up with (limits, its own addresses, time limits of connections) stays until the next start.
 */
final class ConfigReload {

  private static final Logger LOG = Logger.getLogger(ConfigReload.class.getName());

  private final EventLoop loop;
  private final GatewayComponents gateway;
  private volatile GatewayConfig inUse;

  ConfigReload(EventLoop loop, GatewayComponents gateway, GatewayConfig inUse) {
    this.loop = loop;
    this.gateway = gateway;
    this.inUse = inUse;
  }

  /** The configuration in use; any thread may ask. */
  GatewayConfig inUse() {
    return inUse;
  }

  /**
   * Reads and checks the file on the caller's thread, as the event loop has clients waiting, and
   * applies it on the loop's.
   *
   * <p>Prevents a gateway that serves by half of a configuration: whatever is wrong with the file,
   * nothing of it is in use, and the log says why. Cost: none.
   */
  synchronized void reload(Path file) {
    try {
      GatewayConfig read = ConfigurationFile.reread(file, inUse);
      inUse = read;
      loop.execute(() -> apply(read));
      LOG.info("configuration reloaded file=" + file);
    } catch (InvalidConfigurationException e) {
      LOG.warning("configuration rejected file=" + file + " reason=" + e.getMessage());
    } catch (RuntimeException e) {
      // A loop that has shut down takes no tasks, and the process is about to end; a fault of the
      // program in reading leaves the configuration in use as it is.
      LOG.warning("configuration not applied file=" + file + " reason=" + e);
    }
  }

  /** In one turn of the event loop, so that no request is served by a part of it. */
  private void apply(GatewayConfig config) {
    gateway.counter().changeAddress(config.counterAddress());
    gateway.discovery().changeAddress(config.discoveryAddress());
    gateway.driver().onSettingsChanged(config.settings());
    gateway.clients().replaceRequestReader(new RequestReader(config.settings()));
  }
}
