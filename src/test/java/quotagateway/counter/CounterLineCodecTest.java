package quotagateway.counter;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Tests the lines of the counter protocol. */
class CounterLineCodecTest {

  @Test
  void encodesIntegralAmountsWithoutDecimalsAndOthersWithSix() {
    assertEquals("incr a 2 4000\r\n", CounterLineCodec.encodeIncrement("a", 2, 4_000));
    assertEquals("incr a -2.500000 4000\r\n", CounterLineCodec.encodeIncrement("a", -2.5, 4_000));
  }

  /**
   * The counter does not accept exponents and would answer an amount with an exponent with an
   * error.
   */
  @Test
  void encodesLargeAndSmallAmountsWithoutExponent() {
    assertEquals("incr a 1000000000.000000 1\r\n", CounterLineCodec.encodeIncrement("a", 1e9, 1));
    assertEquals("incr a 0.000001 1\r\n", CounterLineCodec.encodeIncrement("a", 1e-6, 1));
  }

  /** The counter accepts lifetimes of at least 1 ms. */
  @Test
  void encodesLifetimeOfAtLeastOneMillisecond() {
    assertEquals("incr a 1 1\r\n", CounterLineCodec.encodeIncrement("a", 1, 0.25));
  }

  @Test
  void decodesEachKindOfReply() {
    assertEquals(CounterReply.total(12.5), CounterLineCodec.decodeReply("ok 12.5"));
    assertEquals(CounterReply.REJECTED, CounterLineCodec.decodeReply("busy"));
    assertEquals(CounterReply.REJECTED, CounterLineCodec.decodeReply("error"));
    assertEquals(CounterReply.PONG, CounterLineCodec.decodeReply("pong"));
  }

  /**
   * A total that is not a finite number must not reach the policy: every comparison with NaN is
   * false.
   */
  @Test
  void decodesAnyOtherLineAsMalformed() {
    for (String line : new String[] {"", "ok", "ok ", "ok x", "ok NaN", "ok Infinity", "BUSY"}) {
      assertEquals(CounterReply.MALFORMED, CounterLineCodec.decodeReply(line), line);
    }
  }
}
