package quotagateway.scale;

import java.util.List;

/**
 * How a figure grows with a size: least squares through the points, once as they are (slope and
 * constant) and once on logarithmic axes (exponent: 0 is flat, 1 is linear).
 */
record Growth(double slope, double constant, double exponent, double factor) {

  /** One measured point. */
  record Point(double size, double value) {}

  private record Line(double slope, double constant) {}

  /** Fits two points or more; the exponent is NaN where fewer than two of them are above 0. */
  static Growth fit(List<Point> points) {
    Line plain = line(points);
    List<Point> positive =
        points.stream()
            .filter(p -> p.size() > 0 && p.value() > 0)
            .map(p -> new Point(Math.log(p.size()), Math.log(p.value())))
            .toList();
    Line logarithmic = positive.size() < 2 ? new Line(Double.NaN, Double.NaN) : line(positive);
    return new Growth(
        plain.slope, plain.constant, logarithmic.slope, Math.exp(logarithmic.constant));
  }

  private static Line line(List<Point> points) {
    double meanSize = points.stream().mapToDouble(Point::size).average().orElse(0);
    double meanValue = points.stream().mapToDouble(Point::value).average().orElse(0);
    double covariance = 0;
    double variance = 0;
    for (Point p : points) {
      covariance += (p.size() - meanSize) * (p.value() - meanValue);
      variance += (p.size() - meanSize) * (p.size() - meanSize);
    }
    double slope = variance == 0 ? 0 : covariance / variance;
    return new Line(slope, meanValue - slope * meanSize);
  }

  /**
   * The size at which the measured points pass the budget, interpolated between two of them on
   * logarithmic axes; NaN where none passes it, and the first size where that one already does.
   */
  static double crossing(List<Point> points, double budget) {
    Point before = null;
    for (Point p : points) {
      if (p.value() > budget) {
        return before == null || before.value() <= 0 ? p.size() : between(before, p, budget);
      }
      before = p;
    }
    return Double.NaN;
  }

  private static double between(Point below, Point above, double budget) {
    double part = Math.log(budget / below.value()) / Math.log(above.value() / below.value());
    return Math.exp(Math.log(below.size()) + part * Math.log(above.size() / below.size()));
  }
}
