package quotagateway.scale;

import java.util.Arrays;

/**
 * The value of one metric in one run, written as one JSON line.
 *
 * @param sweep name of the sweep
 * @param version label of the measured version of the gateway
 * @param parameter name of the varied parameter
 * @param size value of the parameter
 * @param metric name of the metric, with the unit at the end
 * @param least smallest value of the repetitions
 * @param median median of the repetitions
 * @param most largest value of the repetitions
 * @param repetitions number of repetitions
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

  /** Summarizes the values of at least one repetition. */
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

  /** The properties that all measurements of one sweep have in common. */
  record Subject(String sweep, String version, String parameter, long seed) {}
}
