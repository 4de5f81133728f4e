package quotagateway.config;

import java.math.BigInteger;
import java.net.InetSocketAddress;
import java.util.Map;
import quotagateway.policy.settings.PolicySettings;
import quotagateway.transport.SocketAddresses;

/**
 * The configuration of one gateway process. Immutable; a reload replaces it as a whole.
 *
 * @param listenAddress the address that clients connect to
 * @param adminAddress the address that operators connect to; null if there is none
 * @param discoveryAddress the discovery agent's address
 * @param counterAddress the shared counter's address; null if there is none
 * @param seed the seed of the policy's random draws
 * @param settings the settings that the policy's decisions depend on
 * @param limits the resource limits of the process
 * @param connectTimeoutMs connect timeout of a connection to a backend, in milliseconds
 * @param idleTimeoutMs idle time after which backends close a connection, in milliseconds
 * @param knownEndpoints the endpoint list as this gateway last had it, in discovery's format
 * @param fields the fields of the configuration file, which a reload is compared with
 */
public record GatewayConfig(
    InetSocketAddress listenAddress,
    InetSocketAddress adminAddress,
    InetSocketAddress discoveryAddress,
    InetSocketAddress counterAddress,
    long seed,
    PolicySettings settings,
    ResourceLimits limits,
    double connectTimeoutMs,
    double idleTimeoutMs,
    Map<String, Object> knownEndpoints,
    Map<String, Object> fields) {

  /**
   * The key of the list within {@code knownEndpoints}, whose entries may differ from one file to
   * the next.
   */
  static final String KNOWN_ENDPOINT_LIST = "servers";

  private static final String LISTEN = "listen";
  private static final String ADMIN = "mgmt";
  private static final String DISCOVERY = "discovery";
  private static final String COUNTER = "counter";
  private static final String SEED = "seed";

  /**
   * Creates the configuration from the fields of a file.
   *
   * @throws InvalidConfigurationException if the configuration is invalid
   */
  public static GatewayConfig of(Map<String, Object> fields) throws InvalidConfigurationException {
    Map<String, Object> settings = JsonFields.child(fields, "settings");
    SettingsParser.validate(settings);
    PolicySettings policySettings = SettingsParser.parse(settings);
    boolean hasCounter =
        fields.get(COUNTER) != null || policySettings.capabilities().sharedCounter();
    return new GatewayConfig(
        address(fields, LISTEN),
        fields.get(ADMIN) == null ? null : address(fields, ADMIN),
        address(fields, DISCOVERY),
        hasCounter ? address(fields, COUNTER) : null,
        seed(fields),
        policySettings,
        limits(JsonFields.child(fields, "limits")),
        SettingsParser.connectTimeoutMs(settings),
        SettingsParser.idleTimeoutMs(settings),
        JsonFields.child(fields, "known"),
        fields);
  }

  /**
   * Returns this configuration with another admin address, or unchanged if the address is null. The
   * environment takes precedence over the file, because each process has its own environment while
   * two processes may share the file.
   *
   * @throws InvalidConfigurationException if the text is not an address and port
   */
  public GatewayConfig withAdminAddress(String address) throws InvalidConfigurationException {
    if (address == null) {
      return this;
    }
    return new GatewayConfig(
        listenAddress,
        address(Map.of(ADMIN, address), ADMIN),
        discoveryAddress,
        counterAddress,
        seed,
        settings,
        limits,
        connectTimeoutMs,
        idleTimeoutMs,
        knownEndpoints,
        fields);
  }

  private static ResourceLimits limits(Map<String, Object> fields) {
    return ResourceLimits.of(
        JsonFields.number(fields, "sockets", ResourceLimits.DEFAULT_DESCRIPTORS),
        JsonFields.number(fields, "memory_mb", ResourceLimits.DEFAULT_MEMORY_MB),
        JsonFields.number(fields, "cores", ResourceLimits.DEFAULT_CORES));
  }

  private static long seed(Map<String, Object> fields) throws InvalidConfigurationException {
    String seed = JsonFields.text(fields, SEED);
    try {
      return new BigInteger(seed, 16).longValue();
    } catch (NumberFormatException e) {
      throw new InvalidConfigurationException(
          SEED, "is not a hexadecimal number: '" + seed + "'", e);
    }
  }

  private static InetSocketAddress address(Map<String, Object> fields, String key)
      throws InvalidConfigurationException {
    String text = JsonFields.text(fields, key);
    InetSocketAddress address = SocketAddresses.parse(text);
    if (address == null) {
      throw new InvalidConfigurationException(key, "is not an address and port: '" + text + "'");
    }
    return address;
  }
}
