package quotagateway.config;

import java.math.BigInteger;
import java.net.InetSocketAddress;
import java.util.Map;
import quotagateway.policy.settings.PolicySettings;
import quotagateway.transport.SocketAddresses;

/**
 * The configuration of one gateway process; immutable, and replaced whole on a reload.
 *
 * @param listenAddress where clients connect
 * @param adminAddress where operators connect; null where they cannot
 * @param discoveryAddress of the discovery agent
 * @param counterAddress of the shared counter; null where there is none
 * @param seed of the policy's random draws
 * @param settings that decisions depend on
 * @param limits of what the process may hold
 * @param connectTimeoutMs after which a connection to a backend that has not come up has failed
 * @param idleTimeoutMs after which backends close an idle connection themselves
 * @param knownEndpoints the endpoint list as this gateway last had it, in discovery's form
 * @param fields the file that all this was read from, which a reload is compared with
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

  /** The list within {@code knownEndpoints}: entries come and go from one file to the next. */
  static final String KNOWN_ENDPOINT_LIST = "servers";

  private static final String LISTEN = "listen";
  private static final String ADMIN = "mgmt";
  private static final String DISCOVERY = "discovery";
  private static final String COUNTER = "counter";
  private static final String SEED = "seed";

  /**
   * The configuration of a file's fields.
   *
   * @throws InvalidConfigurationException where the gateway cannot serve by it
   */
  public static GatewayConfig of(Map<String, Object> fields) throws InvalidConfigurationException {
    Map<String, Object> settings = JsonFields.child(fields, "settings");
    SettingsParser.validate(settings);
    PolicySettings parsed = SettingsParser.parse(settings);
    boolean hasCounter = fields.get(COUNTER) != null || parsed.capabilities().sharedCounter();
    return new GatewayConfig(
        address(fields, LISTEN),
        fields.get(ADMIN) == null ? null : address(fields, ADMIN),
        address(fields, DISCOVERY),
        hasCounter ? address(fields, COUNTER) : null,
        seed(fields),
        parsed,
        limits(JsonFields.child(fields, "limits")),
        SettingsParser.connectTimeoutMs(settings),
        SettingsParser.idleTimeoutMs(settings),
        JsonFields.child(fields, "known"),
        fields);
  }

  /**
   * The same with another address for operators, or the same where that is null. Each process has
   * its own environment, while two may share the file, so what the environment names goes first.
   *
   * @throws InvalidConfigurationException where it is not an address and port
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
