package quotagateway.config;

/** The configuration, or what the environment says of it, cannot be served by. */
public final class InvalidConfigurationException extends Exception {

  private static final long serialVersionUID = 1;

  private final String key;

  /**
   * @param key the setting at fault, or the name of the whole where no single one is
   * @param reason what is wrong with it, in words for those on call
   */
  public InvalidConfigurationException(String key, String reason) {
    this(key, reason, null);
  }

  /** The same, found by another exception. */
  public InvalidConfigurationException(String key, String reason, Throwable cause) {
    super(key + " " + reason, cause);
    this.key = key;
  }

  /** The setting at fault. */
  public String key() {
    return key;
  }
}
