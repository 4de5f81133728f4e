package quotagateway.counter;

import java.math.BigDecimal;
import java.math.RoundingMode;

/**
 * Encodes calls to the counter and decodes its replies. Each is one line of text that ends in CRLF.
 */
public final class CounterLineCodec {

  /** Limits the length of a reply. The longest valid reply, a total, is far shorter. */
  static final int MAX_LINE_BYTES = 256;

  static final String PING = "ping\r\n";

  private static final String TOTAL_PREFIX = "ok ";

  /** Integral amounts of a smaller magnitude are written as integers, which is exact. */
  private static final double INTEGER_AMOUNT_LIMIT = 1e9;

  /** Decimal places of all other amounts. */
  private static final int AMOUNT_DECIMAL_PLACES = 6;

  private static final long MIN_TTL_MS = 1;

  private CounterLineCodec() {}

  /**
   * Encodes a call that adds an amount to a named counter.
   *
   * @param counterName the counter's name, without spaces
   * @param amount the amount to add; may be negative
   * @param ttlMs lifetime of the counter if this call creates it, in milliseconds; at least 1 ms is
   *     sent
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

  /** Formats an amount as decimal digits. The counter does not accept exponents. */
  private static String formatAmount(double amount) {
    if (amount == Math.rint(amount) && Math.abs(amount) < INTEGER_AMOUNT_LIMIT) {
      return Long.toString((long) amount);
    }
    return BigDecimal.valueOf(amount)
        .setScale(AMOUNT_DECIMAL_PLACES, RoundingMode.HALF_UP)
        .toPlainString();
  }

  /** Decodes a reply, given without its line end. */
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
