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
 * Reads the configuration file at startup and on a reload. Each read returns a complete, valid
 * configuration or throws. Thread-safe.
 */
public final class ConfigurationFile {

  private ConfigurationFile() {}

  /**
   * Reads the file at startup.
   *
   * @throws InvalidConfigurationException if the file cannot be read or is not a valid
   *     configuration
   */
  public static GatewayConfig read(Path file) throws InvalidConfigurationException {
    return GatewayConfig.of(fields(file));
  }

  /**
   * Reads the file on a reload. The file must have every key that the configuration in use has.
   *
   * @throws InvalidConfigurationException if the file lacks a key, cannot be read or is not a valid
   *     configuration
   */
  public static GatewayConfig readForReload(Path file, GatewayConfig inUse)
      throws InvalidConfigurationException {
    Map<String, Object> fields = fields(file);
    requireKeysOf(inUse.fields(), fields, "");
    return GatewayConfig.of(fields);
  }

  private static Map<String, Object> fields(Path file) throws InvalidConfigurationException {
    try (JsonParser parser = new JsonFactory().createParser(Files.readAllBytes(file))) {
      parser.nextToken();
      Map<String, Object> fields = JsonFields.readObject(parser);
      if (parser.nextToken() != null) {
        throw new InvalidConfigurationException(
            file.toString(), "has content after its JSON object");
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
   * Checks that a reloaded file has every required key of the configuration in use. Without this,
   * keys missing from a truncated or mistyped file would be read as 0 or as a default, and quotas
   * or attempts would change unnoticed. The drawback is that a key cannot be removed without a
   * restart.
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

  /** Checks that each item has the keys that all items of the list in use have. */
  private static void requireKeysOfItems(
      List<Map<String, Object>> inUse, List<Map<String, Object>> items, String prefix)
      throws InvalidConfigurationException {
    if (inUse.isEmpty()) {
      return;
    }
    Map<String, Object> commonKeys = new HashMap<>(inUse.get(0));
    inUse.forEach(item -> commonKeys.keySet().retainAll(item.keySet()));
    for (Map<String, Object> item : items) {
      requireKeysOf(commonKeys, item, prefix);
    }
  }
}
