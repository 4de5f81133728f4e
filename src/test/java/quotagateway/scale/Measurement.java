package quotagateway.scale;

import java.util.Arrays;

/**
 * One figure of one run, written as one JSON line.
 *
 * @param sweep name of the sweep
 * @param version label of the program's version that was measured
 * @param parameter what was varied
 * @param size its value
 * @param metric what was measured, with its unit at the end
 * @param least smallest of the repetitions
 * @param median middle of the repetitions
 * @param most largest of the repetitions
 * @param repetitions how many there were
 * @param seed seed of the random numbers
 */
public record Measurement(
    String sweep,
    String version,
    String parameter,
    double size,
    String metric,
    double least,
    double median,
    double most,
    int repetitions,
    long seed) {

  /** Condenses repetitions, of which there must be one at least. */
  static Measurement of(Subject subject, double size, String metric, double... values) {
    double[] sorted = values.clone();
    Arrays.sort(sorted);
    return new Measurement(
        subject.sweep(),
        subject.version(),
        subject.parameter(),
        size,
        metric,
        sorted[0],
        sorted[sorted.length / 2],
        sorted[sorted.length - 1],
        sorted.length,
        subject.seed());
  }

  /** What all measurements of one sweep have in common. */
  record Subject(String sweep, String version, String parameter, long seed) {}
}
