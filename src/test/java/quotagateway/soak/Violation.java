package quotagateway.soak;

import java.util.List;

/**
 * A violation of a guarantee of the service.
 *
 * @param rule name of the violated rule, or a short description of the fault
 * @param subject what violated the rule, such as a request's identifier or a gateway
 * @param history evidence, one line each
 */
record Violation(String rule, String subject, List<String> history) {

  @Override
  public String toString() {
    return rule + " " + subject + "\n    " + String.join("\n    ", history);
  }
}
