package quotagateway.config;

/** Thrown if the configuration, or a setting from the environment, is invalid. */
public final class InvalidConfigurationException extends Exception {

  private static final long serialVersionUID = 1;

  private final String key;

  /**
   * @param key the invalid setting or environment variable, or the configuration file if no single
   *     setting is at fault
   * @param reason what is wrong with it, in words for operators
   */
  public InvalidConfigurationException(String key, String reason) {
    this(key, reason, null);
  }

  /** Creates an exception with the failure that caused it. */
  public InvalidConfigurationException(String key, String reason, Throwable cause) {
    super(key + " " + reason, cause);
    this.key = key;
  }

  /**
   * Returns the invalid setting or environment variable, or the configuration file if no single
   * setting is at fault.
   */
  public String key() {
    return key;
  }
}
