package quotagateway.soak;

/** The customers that clients ask for, one of each plan. */
enum Customer {
  /** Within its quota all the time. */
  UNLIMITED("basic", 1),
  /** With a hard limit that its clients press against. */
  HARD_LIMITED("limited", 2);

  private final String plan;
  private final int number;

  Customer(String plan, int number) {
    this.plan = plan;
    this.number = number;
  }

  /** The headers that name it, and the gateways that its requests reach. */
  String headers(int gateways) {
    return String.format(
        "X-Plan: %s\r\nX-Customer: %016x\r\nX-Quota: units=1,spread=%d,first=0\r\n",
        plan, number, gateways);
  }
}
