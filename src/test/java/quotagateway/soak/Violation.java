package quotagateway.soak;

import java.util.List;

/**
 * A rule that was broken.
 *
 * @param rule its name
 * @param subject the request or gateway
 * @param history what was seen, a line each
 */
record Violation(String rule, String subject, List<String> history) {

  @Override
  public String toString() {
    return rule + " " + subject + "\n    " + String.join("\n    ", history);
  }
}
