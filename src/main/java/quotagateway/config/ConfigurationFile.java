package quotagateway.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads the configuration file at a start and at a reload. Either gives a whole, valid
 * configuration or throws; any thread may call it.
 */
public final class ConfigurationFile {

  private ConfigurationFile() {}

  /**
   * Reads the file at a start.
   *
   * @throws InvalidConfigurationException where it cannot be read or cannot be served by
   */
  public static GatewayConfig read(Path file) throws InvalidConfigurationException {
    return GatewayConfig.of(fields(file));
  }

  /**
   * Reads a replaced file, which must have every key that the configuration in use has.
   *
   * @throws InvalidConfigurationException where it lacks one, cannot be read, or cannot be served
   *     by
   */
  public static GatewayConfig reread(Path file, GatewayConfig inUse)
      throws InvalidConfigurationException {
    Map<String, Object> fields = fields(file);
    requireKeysOf(inUse.fields(), fields, "");
    return GatewayConfig.of(fields);
  }

  private static Map<String, Object> fields(Path file) throws InvalidConfigurationException {
    try (JsonParser in = new JsonFactory().createParser(Files.readAllBytes(file))) {
      in.nextToken();
      Map<String, Object> fields = JsonFields.readObject(in);
      if (in.nextToken() != null) {
        throw new InvalidConfigurationException(file.toString(), "has more behind its object");
      }
      return fields;
    } catch (NoSuchFileException e) {
      throw new InvalidConfigurationException(file.toString(), "does not exist", e);
    } catch (JsonProcessingException e) {
      throw new InvalidConfigurationException(
          file.toString(), "is not a JSON object: " + e.getOriginalMessage(), e);
    } catch (IOException e) {
      throw new InvalidConfigurationException(
          file.toString(), "cannot be read: " + e.getMessage(), e);
    }
  }

  /**
   * Prevents a reload from a file that was cut or mistyped: what it lacks would be read as 0 or as
   * a default, and quotas or attempts would change unnoticed. Cost: a key cannot be dropped without
   * a restart.
   */
  private static void requireKeysOf(
      Map<String, Object> inUse, Map<String, Object> fields, String prefix)
      throws InvalidConfigurationException {
    for (Map.Entry<String, Object> entry : inUse.entrySet()) {
      String key = entry.getKey();
      boolean required = entry.getValue() != null && !SettingsParser.OPTIONAL_KEYS.contains(key);
      if (required && fields.get(key) == null) {
        throw new InvalidConfigurationException(prefix + key, "is missing");
      }
      requireKeysOf(
          JsonFields.child(inUse, key), JsonFields.child(fields, key), prefix + key + ".");
      if (!key.equals(GatewayConfig.KNOWN_ENDPOINT_LIST)) {
        requireKeysOfItems(
            JsonFields.children(inUse, key), JsonFields.children(fields, key), prefix + key + ".");
      }
    }
  }

  /** Each item must have the keys that all items of the list in use have. */
  private static void requireKeysOfItems(
      List<Map<String, Object>> inUse, List<Map<String, Object>> items, String prefix)
      throws InvalidConfigurationException {
    if (inUse.isEmpty()) {
      return;
    }
    Map<String, Object> common = new HashMap<>(inUse.get(0));
    inUse.forEach(item -> common.keySet().retainAll(item.keySet()));
    for (Map<String, Object> item : items) {
      requireKeysOf(common, item, prefix);
    }
  }
}
