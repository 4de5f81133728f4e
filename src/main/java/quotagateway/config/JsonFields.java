package quotagateway.config;

import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads JSON objects into plain maps, and provides lenient access to their fields: a field that is
 * missing or of another type counts as absent.
 */
public final class JsonFields {

  private JsonFields() {}

  /**
   * Reads the object at the parser's current token.
   *
   * @throws JsonProcessingException if there is no complete object
   */
  public static Map<String, Object> readObject(JsonParser parser) throws IOException {
    if (parser.currentToken() != JsonToken.START_OBJECT) {
      throw new JsonParseException(parser, "expected an object, found " + parser.currentToken());
    }
    Map<String, Object> fields = new HashMap<>();
    while (parser.nextToken() == JsonToken.FIELD_NAME) {
      String field = parser.currentName();
      parser.nextToken();
      fields.put(field, value(parser));
    }
    if (parser.currentToken() != JsonToken.END_OBJECT) {
      throw new JsonParseException(parser, "input ends inside an object");
    }
    return fields;
  }

  private static Object value(JsonParser parser) throws IOException {
    return switch (parser.currentToken()) {
      case START_OBJECT -> readObject(parser);
      case START_ARRAY -> {
        List<Object> items = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
          items.add(value(parser));
        }
        yield items;
      }
      case VALUE_STRING -> parser.getText();
      case VALUE_NUMBER_INT ->
          parser.getNumberType() == JsonParser.NumberType.BIG_INTEGER
              ? (Object) parser.getBigIntegerValue()
              : (Object) parser.getLongValue();
      case VALUE_NUMBER_FLOAT -> parser.getDoubleValue();
      case VALUE_TRUE -> true;
      case VALUE_FALSE -> false;
      default -> null;
    };
  }

  /** Returns the text of a field, or an empty string if the field is absent. */
  public static String text(Map<String, Object> fields, String name) {
    return fields.get(name) instanceof String string ? string : "";
  }

  /** Returns the number of a field, or 0 if the field is absent. */
  public static double number(Map<String, Object> fields, String name) {
    return number(fields, name, 0);
  }

  /** Returns the number of a field, or the default value if the field is absent. */
  public static double number(Map<String, Object> fields, String name, double defaultValue) {
    return fields.get(name) instanceof Number numeric ? numeric.doubleValue() : defaultValue;
  }

  /** Returns the boolean value of a field, or false if the field is absent. */
  public static boolean flag(Map<String, Object> fields, String name) {
    return Boolean.TRUE.equals(fields.get(name));
  }

  /** Returns the object of a field, or an empty map if the field is absent. */
  @SuppressWarnings("unchecked")
  public static Map<String, Object> child(Map<String, Object> fields, String name) {
    return fields.get(name) instanceof Map<?, ?> map ? (Map<String, Object>) map : Map.of();
  }

  /** Returns the objects in the array of a field, or an empty list if the field is absent. */
  @SuppressWarnings("unchecked")
  public static List<Map<String, Object>> children(Map<String, Object> fields, String name) {
    List<Map<String, Object>> objects = new ArrayList<>();
    if (fields.get(name) instanceof List<?> items) {
      for (Object item : items) {
        if (item instanceof Map<?, ?> map) {
          objects.add((Map<String, Object>) map);
        }
      }
    }
    return objects;
  }
}
