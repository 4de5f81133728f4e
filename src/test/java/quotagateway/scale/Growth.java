package quotagateway.scale;

import java.util.List;

/**
 * The growth of a value with a size, from least-squares fits through the points on linear axes
 * (slope and constant) and on logarithmic axes (factor and exponent: 0 is constant, 1 is linear).
 */
record Growth(double slope, double constant, double exponent, double factor) {

  /** One measured point. */
  record Point(double size, double value) {}

  private record Line(double slope, double constant) {}

  /**
   * Fits two or more points. The exponent and the factor are NaN if fewer than two points have a
   * positive size and value.
   */
  static Growth fit(List<Point> points) {
    Line linear = fitLine(points);
    List<Point> positive =
        points.stream()
            .filter(point -> point.size() > 0 && point.value() > 0)
            .map(point -> new Point(Math.log(point.size()), Math.log(point.value())))
            .toList();
    Line logarithmic = positive.size() < 2 ? new Line(Double.NaN, Double.NaN) : fitLine(positive);
    return new Growth(
        linear.slope, linear.constant, logarithmic.slope, Math.exp(logarithmic.constant));
  }

  private static Line fitLine(List<Point> points) {
    double meanSize = points.stream().mapToDouble(Point::size).average().orElse(0);
    double meanValue = points.stream().mapToDouble(Point::value).average().orElse(0);
    double covariance = 0;
    double variance = 0;
    for (Point point : points) {
      covariance += (point.size() - meanSize) * (point.value() - meanValue);
      variance += (point.size() - meanSize) * (point.size() - meanSize);
    }
    double slope = variance == 0 ? 0 : covariance / variance;
    return new Line(slope, meanValue - slope * meanSize);
  }

  /**
   * Returns the size at which the values exceed the budget, interpolated between two points on
   * logarithmic axes. Returns NaN if no point exceeds the budget, and the first size if that point
   * already does.
   */
  static double crossing(List<Point> points, double budget) {
    Point previous = null;
    for (Point point : points) {
      if (point.value() > budget) {
        return previous == null || previous.value() <= 0
            ? point.size()
            : interpolate(previous, point, budget);
      }
      previous = point;
    }
    return Double.NaN;
  }

  private static double interpolate(Point below, Point above, double budget) {
    double fraction = Math.log(budget / below.value()) / Math.log(above.value() / below.value());
    return Math.exp(Math.log(below.size()) + fraction * Math.log(above.size() / below.size()));
  }
}
