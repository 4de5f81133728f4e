package quotagateway.soak;

/** The customers on whose behalf clients send requests, one for each plan. */
enum Customer {
  /** A customer that stays within its quota throughout the run. */
  UNLIMITED("basic", 1),
  /** A customer with a hard limit that its clients try to exceed. */
  HARD_LIMITED("limited", 2);

  private final String plan;
  private final int number;

  Customer(String plan, int number) {
    this.plan = plan;
    this.number = number;
  }

  /**
   * Returns the headers that identify the customer and its plan, with an estimate of 1 unit.
   *
   * @param gateways number of gateways over which the customer's requests are spread
   */
  String headers(int gateways) {
    return String.format(
        "X-Plan: %s\r\nX-Customer: %016x\r\nX-Quota: units=1,spread=%d,first=0\r\n",
        plan, number, gateways);
  }
}
