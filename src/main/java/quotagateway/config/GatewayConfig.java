package quotagateway.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import java.math.BigInteger;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import quotagateway.discovery.EndpointUpdate;
import quotagateway.policy.settings.PolicySettings;
import quotagateway.transport.SocketAddresses;

/** What a front door is told at its start: the file that {@code GW_CONFIG} names. */
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
    EndpointUpdate known,
    Map<String, Object> fields) {

  private static final Set<String> REPEATS = Set.of("pure", "token", "side_effect");

  /** Keys that the wire allows to be absent. */
  private static final Set<String> OPTIONAL = Set.of("AimStretch", "Fleet");

  /**
   * Reads the file; anything that keeps the front door from serving is an IOException in plain
   * words.
   */
  public static GatewayConfig read(Path file) throws IOException {
    return of(fields(file));
  }

  /** Reads a replaced file, which is to have every key that the one in use has. */
  public static GatewayConfig reread(Path file, GatewayConfig inUse) throws IOException {
    Map<String, Object> fields = fields(file);
    complete(fields, inUse.fields, "");
    return of(fields);
  }

  /** Guards against a file that lacks what would else be taken for nought or for a usual value. */
  private static void complete(Map<String, Object> fields, Map<String, Object> inUse, String where)
      throws IOException {
    for (Map.Entry<String, Object> e : inUse.entrySet()) {
      String name = where + e.getKey();
      if (fields.get(e.getKey()) == null
          && e.getValue() != null
          && !OPTIONAL.contains(e.getKey())) {
        throw new IOException(name + " is missing");
      }
      complete(
          JsonFields.child(fields, e.getKey()), JsonFields.child(inUse, e.getKey()), name + ".");
      List<Map<String, Object>> before = JsonFields.children(inUse, e.getKey());
      if (!before.isEmpty() && !e.getKey().equals("servers")) {
        Map<String, Object> common = new HashMap<>(before.get(0));
        before.forEach(b -> common.keySet().retainAll(b.keySet()));
        for (Map<String, Object> item : JsonFields.children(fields, e.getKey())) {
          complete(item, common, name + ".");
        }
      }
    }
  }

  /**
   * The environment is each process's own, while two may share the file: what it names goes first.
   */
  public GatewayConfig withAdminAddress(String address) throws IOException {
    return address == null
        ? this
        : new GatewayConfig(
            listenAddress,
            address(Map.of("mgmt", address), "mgmt"),
            discoveryAddress,
            counterAddress,
            seed,
            settings,
            limits,
            connectTimeoutMs,
            idleTimeoutMs,
            known,
            fields);
  }

  private static Map<String, Object> fields(Path file) throws IOException {
    try (JsonParser in = new JsonFactory().createParser(Files.readAllBytes(file))) {
      in.nextToken();
      Map<String, Object> fields = JsonFields.object(in);
      if (in.nextToken() != null) {
        throw new IOException("more follows the object");
      }
      return fields;
    } catch (NoSuchFileException e) {
      throw new IOException("there is no file " + file, e);
    }
  }

  public static GatewayConfig of(Map<String, Object> fields) throws IOException {
    Map<String, Object> settings = JsonFields.child(fields, "settings");
    PolicySettings parsed = SettingsParser.read(settings);
    if (parsed.requestClasses().isEmpty() || parsed.plans().isEmpty()) {
      throw new IOException("settings name no classes or no plans");
    }
    Map<String, Object> bounds = JsonFields.child(settings, "Bounds");
    if (!(JsonFields.number(bounds, "MaxAttempts") >= 1)) {
      throw new IOException("MaxAttempts is not a positive number");
    }
    Set<String> names = new HashSet<>();
    for (Map<String, Object> c : JsonFields.children(settings, "Profiles")) {
      String name = JsonFields.text(c, "Name");
      double deadline = JsonFields.number(c, "DeadlineMs");
      if (name.isEmpty() || !names.add(name)) {
        throw new IOException("a class without a name of its own: '" + name + "'");
      }
      if (!(deadline > 0 && deadline < Double.POSITIVE_INFINITY)) {
        throw new IOException("DeadlineMs of " + name + " is not a positive number");
      }
      if (!REPEATS.contains(JsonFields.text(c, "Repeat"))) {
        throw new IOException("Repeat of " + name + " is unknown");
      }
    }
    Map<String, Object> limits = JsonFields.child(fields, "limits");
    ResourceLimits held =
        ResourceLimits.of(
            JsonFields.number(limits, "sockets", ResourceLimits.USUAL_SOCKETS),
            JsonFields.number(limits, "memory_mb", ResourceLimits.USUAL_MEMORY_MB),
            JsonFields.number(limits, "cores", ResourceLimits.USUAL_CORES));
    InetSocketAddress counter =
        fields.get("counter") == null && !parsed.capabilities().sharedCounter()
            ? null
            : address(fields, "counter");
    InetSocketAddress listen = address(fields, "listen");
    InetSocketAddress mgmt = fields.get("mgmt") == null ? null : address(fields, "mgmt");
    return new GatewayConfig(
        listen,
        mgmt,
        address(fields, "discovery"),
        counter,
        seed(fields),
        parsed,
        held,
        JsonFields.number(bounds, "DialTimeoutMs", 250),
        JsonFields.number(bounds, "ConnIdleMs", 15_000),
        EndpointUpdate.of(JsonFields.child(fields, "known")),
        fields);
  }

  private static long seed(Map<String, Object> fields) throws IOException {
    String seed = JsonFields.text(fields, "seed");
    try {
      return new BigInteger(seed, 16).longValue();
    } catch (NumberFormatException e) {
      throw new IOException("seed is not a hexadecimal number: '" + seed + "'", e);
    }
  }

  private static InetSocketAddress address(Map<String, Object> fields, String name)
      throws IOException {
    String text = JsonFields.text(fields, name);
    InetSocketAddress address = SocketAddresses.parse(text);
    if (address == null) {
      throw new IOException(name + " is not an address and port: '" + text + "'");
    }
    return address;
  }
}
