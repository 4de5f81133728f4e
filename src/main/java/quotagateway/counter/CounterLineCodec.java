package quotagateway.counter;

import java.math.BigDecimal;
import java.math.RoundingMode;

/** The counter's calls and replies as lines of text, which end in CRLF. */
public final class CounterLineCodec {

  /** Bounds a reply; the longest proper one, a total, is far shorter. */
  static final int MAX_LINE_BYTES = 256;

  static final String PING = "ping\r\n";

  private static final String TOTAL_PREFIX = "ok ";

  /** Below it a whole amount is written as an integer, without loss. */
  private static final double MAX_INTEGER_AMOUNT = 1e9;

  /** Decimal places of any other amount. */
  private static final int AMOUNT_SCALE = 6;

  private static final long MIN_TTL_MS = 1;

  private CounterLineCodec() {}

  /**
   * Encodes a call that adds to a named count.
   *
   * @param counterName the name, without spaces
   * @param amount what to add; may be negative
   * @param ttlMs how long a count that does not exist yet is kept, in milliseconds
   */
  public static String encodeIncrement(String counterName, double amount, double ttlMs) {
    return "incr "
        + counterName
        + ' '
        + formatAmount(amount)
        + ' '
        + Math.max(MIN_TTL_MS, (long) ttlMs)
        + "\r\n";
  }

  /** Decimal digits without an exponent, which the counter does not read. */
  private static String formatAmount(double amount) {
    if (amount == Math.rint(amount) && Math.abs(amount) < MAX_INTEGER_AMOUNT) {
      return Long.toString((long) amount);
    }
    return BigDecimal.valueOf(amount).setScale(AMOUNT_SCALE, RoundingMode.HALF_UP).toPlainString();
  }

  /** Decodes a reply, without its line end. */
  static CounterReply decodeReply(String line) {
    if (line.startsWith(TOTAL_PREFIX)) {
      return decodeTotal(line.substring(TOTAL_PREFIX.length()));
    }
    return switch (line) {
      case "busy", "error" -> CounterReply.REJECTED;
      case "pong" -> CounterReply.PONG;
      default -> CounterReply.MALFORMED;
    };
  }

  private static CounterReply decodeTotal(String text) {
    try {
      double total = Double.parseDouble(text);
      return Double.isFinite(total) ? CounterReply.total(total) : CounterReply.MALFORMED;
    } catch (NumberFormatException e) {
      return CounterReply.MALFORMED;
    }
  }
}
