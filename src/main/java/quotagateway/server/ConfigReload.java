package quotagateway.server;

import io.netty.channel.EventLoop;
import java.nio.file.Path;
import java.util.logging.Logger;
import quotagateway.client.RequestReader;
import quotagateway.config.ConfigurationFile;
import quotagateway.config.GatewayConfig;
import quotagateway.config.InvalidConfigurationException;

/**
 * Replaces the configuration of a running gateway, either completely or not at all. Settings that
 * the sockets were created with (resource limits, the gateway's own addresses, connection timeouts)
 * take effect only at the next start.
 */
final class ConfigReload {

  private static final Logger LOG = Logger.getLogger(ConfigReload.class.getName());

  private final EventLoop loop;
  private final GatewayComponents components;
  private volatile GatewayConfig inUse;

  ConfigReload(EventLoop loop, GatewayComponents components, GatewayConfig inUse) {
    this.loop = loop;
    this.components = components;
    this.inUse = inUse;
  }

  /** Returns the configuration in use. Thread-safe. */
  GatewayConfig inUse() {
    return inUse;
  }

  /**
   * Reads and validates the file on the caller's thread, so that the event loop stays free for
   * clients, and applies it on the event loop.
   *
   * <p>If anything in the file is invalid, none of it is applied, and the log states why. The
   * gateway therefore never serves with part of a configuration.
   */
  synchronized void reload(Path file) {
    try {
      GatewayConfig newConfig = ConfigurationFile.readForReload(file, inUse);
      inUse = newConfig;
      loop.execute(() -> apply(newConfig));
      LOG.info("configuration reloaded file=" + file);
    } catch (InvalidConfigurationException e) {
      LOG.warning("configuration rejected file=" + file + " reason=" + e.getMessage());
    } catch (RuntimeException e) {
      // Either the event loop has shut down and rejects the task, as the process is about to end,
      // or a bug made reading fail, which leaves the configuration in use unchanged.
      LOG.warning("configuration not applied file=" + file + " reason=" + e);
    }
  }

  /**
   * Applies the configuration in one turn of the event loop, so that no request sees part of it.
   */
  private void apply(GatewayConfig config) {
    components.counter().changeAddress(config.counterAddress());
    components.discovery().changeAddress(config.discoveryAddress());
    components.driver().onSettingsChanged(config.settings());
    components.clients().replaceRequestReader(new RequestReader(config.settings()));
  }
}
